#include "gateway/service_state.hpp"

#include <algorithm>
#include <cmath>

namespace coriander {
namespace {

constexpr double rate_window_s = 4.0;
constexpr double average_gain = 0.05;

void update_average(double& value, double sample)
{
    value += value == 0.0 ? sample : average_gain * (sample - value);
}

/// `rate` after exponential decay over `age` without events.
double decayed(double rate, time_ms age)
{
    return rate * std::exp(-age.seconds() / rate_window_s);
}

} // namespace

void model_meter::on_request(double prompt_tokens, time_ms now)
{
    this->rate = decayed(this->rate, now - this->rate_at) + 1.0 / rate_window_s;
    this->rate_at = now;
    update_average(this->prompt, prompt_tokens);
}

void model_meter::on_refused(time_ms now)
{
    this->refusal_rate = decayed(this->refusal_rate, now - this->refusal_at) + 1.0 / rate_window_s;
    this->refusal_at = now;
}

double model_meter::refused_share(time_ms now) const
{
    const double all = decayed(this->rate, now - this->rate_at);
    return all > 0.0 ? std::min(1.0, decayed(this->refusal_rate, now - this->refusal_at) / all) : 0.0;
}

const char* model_meter::classify(double declared_tokens)
{
    constexpr double large = 2.0;
    update_average(this->declared, declared_tokens);
    if (declared_tokens < this->declared) {
        return "below_mean";
    }
    return declared_tokens < large * this->declared ? "above_mean" : "above_double";
}

void model_meter::on_answer(double answer_tokens, time_ms duration)
{
    update_average(this->answer, answer_tokens);
    update_average(this->duration_ms, static_cast<double>(duration.count()));
}

model_traffic model_meter::load(time_ms now) const
{
    return {decayed(this->rate, now - this->rate_at), this->prompt, this->answer, this->duration_ms};
}

time_ms expected_duration(const model_traffic& load, const relay_service& service, const model_profile* model)
{
    if (load.duration_ms > 0.0 || model == nullptr) {
        return time_ms{static_cast<std::int64_t>(load.duration_ms)};
    }
    const auto& engine = *service.engine;
    return time_ms{static_cast<std::int64_t>(answer_time_ms(engine, *model, engine.typical_prompt_tokens,
                                                            engine.typical_answer_tokens, engine.slots))};
}

} // namespace coriander

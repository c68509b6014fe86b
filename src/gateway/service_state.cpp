#include "gateway/service_state.hpp"

#include <cmath>

namespace coriander {
namespace {

constexpr double rate_window_s = 4.0;
constexpr double size_gain = 0.05;

void average(double& value, double sample)
{
    value += value == 0.0 ? sample : size_gain * (sample - value);
}

} // namespace

void model_meter::on_request(double prompt_tokens, time_ms now)
{
    const double age = (now - this->rate_at).seconds();
    this->rate = this->rate * std::exp(-age / rate_window_s) + 1.0 / rate_window_s;
    this->rate_at = now;
    average(this->prompt, prompt_tokens);
}

void model_meter::on_answer(double answer_tokens, time_ms duration)
{
    average(this->answer, answer_tokens);
    average(this->duration_ms, static_cast<double>(duration.count()));
}

model_load model_meter::load(time_ms now) const
{
    const double age = (now - this->rate_at).seconds();
    return {this->rate * std::exp(-age / rate_window_s), this->prompt, this->answer};
}

} // namespace coriander

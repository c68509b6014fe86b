#include "coriander/relay/fleet_demand.hpp"

#include "coriander/digest.hpp"

namespace coriander {
namespace {

/// Accumulates loads, weighting sizes and durations by the rates.
class load_sum {
public:
    void add(const model_traffic& load)
    {
        this->total_rate += load.requests_per_s;
        this->prompt_tokens += load.requests_per_s * load.prompt_tokens;
        ++this->count;
        if (load.duration_ms > 0.0) {
            this->answered_rate += load.requests_per_s;
            this->answer_tokens += load.requests_per_s * load.answer_tokens;
            this->duration += load.requests_per_s * load.duration_ms;
        }
    }

    [[nodiscard]] model_traffic mean() const
    {
        model_traffic load;
        load.requests_per_s = this->count > 0.0 ? this->total_rate / this->count : 0.0;
        load.prompt_tokens = this->total_rate > 0.0 ? this->prompt_tokens / this->total_rate : 0.0;
        load.answer_tokens = this->answered_rate > 0.0 ? this->answer_tokens / this->answered_rate : 0.0;
        load.duration_ms = this->answered_rate > 0.0 ? this->duration / this->answered_rate : 0.0;
        return load;
    }

private:
    double count = 0.0;
    double total_rate = 0.0;
    double prompt_tokens = 0.0;
    double answered_rate = 0.0; ///< Total rate of the daemons that have seen a response.
    double answer_tokens = 0.0;
    double duration = 0.0;
};

} // namespace

void fleet_demand::on_report(std::uint64_t sender, std::span<const model_demand> demands, time_ms now)
{
    for (const auto& demand : demands) {
        this->models[demand.model][sender] = {demand.load, now};
    }
}

model_traffic fleet_demand::total(std::uint64_t model, const model_traffic& own, std::size_t daemons,
                                  time_ms now)
{
    load_sum sum;
    sum.add(own);
    const auto found = this->models.find(model);
    if (found != this->models.end()) {
        std::erase_if(found->second,
                      [&](const auto& item) { return now - item.second.received_at > retention; });
        for (const auto& [sender, report] : found->second) {
            sum.add(report.load);
        }
    }
    auto load = sum.mean();
    load.requests_per_s *= static_cast<double>(daemons);
    return load;
}

std::uint64_t model_key(std::string_view service, std::string_view model)
{
    return stable_hash(model, stable_hash(service));
}

} // namespace coriander

#include "coriander/relay/fleet_demand.hpp"

#include "coriander/digest.hpp"

namespace coriander {
namespace {

/// Sums loads, weighting sizes by the rates.
class load_sum {
public:
    void add(const model_traffic& load)
    {
        this->rate += load.requests_per_s;
        this->prompt += load.requests_per_s * load.prompt_tokens;
        ++this->count;
        if (load.duration_ms > 0.0) {
            this->answered += load.requests_per_s;
            this->answer += load.requests_per_s * load.answer_tokens;
            this->duration += load.requests_per_s * load.duration_ms;
        }
    }

    [[nodiscard]] model_traffic mean() const
    {
        model_traffic load;
        load.requests_per_s = this->count > 0.0 ? this->rate / this->count : 0.0;
        load.prompt_tokens = this->rate > 0.0 ? this->prompt / this->rate : 0.0;
        load.answer_tokens = this->answered > 0.0 ? this->answer / this->answered : 0.0;
        load.duration_ms = this->answered > 0.0 ? this->duration / this->answered : 0.0;
        return load;
    }

private:
    double count = 0.0;
    double rate = 0.0;
    double prompt = 0.0;
    double answered = 0.0; ///< Rate of the daemons that have seen an answer.
    double answer = 0.0;
    double duration = 0.0;
};

} // namespace

void fleet_demand::on_report(std::uint64_t sender, std::span<const model_demand> demands, time_ms now)
{
    for (const auto& one : demands) {
        this->models[one.model][sender] = {one.load, now};
    }
}

model_traffic fleet_demand::total(std::uint64_t model, const model_traffic& own, std::size_t daemons,
                                  time_ms now)
{
    load_sum sum;
    sum.add(own);
    const auto found = this->models.find(model);
    if (found != this->models.end()) {
        std::erase_if(found->second, [&](const auto& item) { return now - item.second.at > keeping; });
        for (const auto& [sender, told] : found->second) {
            sum.add(told.load);
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

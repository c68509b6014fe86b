#include "router/config_store.hpp"

#include "coriander/clock.hpp"
#include "runtime/log.hpp"

namespace coriander {

std::shared_ptr<const active_config> config_store::current() const
{
    const std::scoped_lock lock{this->mutex};
    return this->active;
}

bool config_store::adopt_if_newer(const config_record& record, const char* source)
{
    const std::scoped_lock lock{this->mutex};
    if (record.number <= this->active->record.number || record.number == this->rejected_number) {
        return false;
    }
    auto checked = parse_configuration(record.toml, "configuration");
    if (!checked.faults.empty()) {
        this->rejected_number = record.number;
        log_event(
            event::config_rejected,
            {{"number", record.number}, {"source", source}, {"findings", findings_text(checked.faults)}});
        return false;
    }
    this->active = std::make_shared<active_config>(active_config{record, std::move(checked.config)});
    log_event(event::config_in_force, {{"number", record.number},
                                       {"author", record.author},
                                       {"source", source},
                                       {"age", wall_clock_now() - record.proposed_at}});
    return true;
}

} // namespace coriander

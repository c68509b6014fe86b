#pragma once

#include "coriander/config_record.hpp"
#include "coriander/configuration.hpp"

#include <memory>
#include <mutex>

namespace coriander {

/// A configuration with the record that it was parsed from.
struct active_config {
    config_record record;
    configuration config;
};

/// The configuration that this router uses. Its number only increases. Thread-safe.
class config_store {
public:
    /// The configuration in use. Never null; its number is 0 until the first one is adopted.
    [[nodiscard]] std::shared_ptr<const active_config> current() const;

    /// Adopts the configuration if it is newer than the current one and valid; otherwise ignores it. `source`
    /// is used in log lines. Returns whether it was adopted.
    bool adopt_if_newer(const config_record& record, const char* source);

private:
    mutable std::mutex mutex; ///< Guards the members below; a leaf lock.
    std::shared_ptr<const active_config> active = std::make_shared<active_config>();
    std::uint64_t rejected_number = 0;
};

} // namespace coriander

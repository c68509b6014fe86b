#pragma once

#include "coriander/config_record.hpp"
#include "coriander/configuration.hpp"

#include <memory>
#include <mutex>

namespace coriander {

/// A configuration in force.
struct active_config {
    config_record record;
    configuration config;
};

/// The configuration that this router follows. Its number only grows. Thread-safe.
class config_store {
public:
    /// The configuration in force; never null, number 0 before the first.
    [[nodiscard]] std::shared_ptr<const active_config> current() const;

    /// Puts a newer configuration in force. Older or equal ones and those with faults are ignored.
    /// Returns whether it is in force now.
    bool adopt_if_newer(const config_record& record, const char* source);

private:
    mutable std::mutex mutex; ///< Guards the members below; a leaf.
    std::shared_ptr<const active_config> active = std::make_shared<active_config>();
    std::uint64_t rejected_number = 0;
};

} // namespace coriander

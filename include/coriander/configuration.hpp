#pragma once

#include "coriander/finding.hpp"
#include "coriander/time_ms.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace coriander {

/// What kind of target a profile describes.
enum class profile_kind {
    model, ///< Replicas that the system forms, each on one or more hosts.
    plain, ///< Targets taken from the host list.
};

/// A call that a plain service offers.
struct call_rule {
    std::string name;
    std::string method = "GET";
    std::string path;
    bool repeatable = true; ///< False: runs at most once and requires an idempotency key.
};

/// Settings shared by all services of one kind.
struct profile {
    std::string name;
    profile_kind kind = profile_kind::model;
    std::string model;
    std::uint32_t hosts_per_replica = 1;
    double downtime_weight = 0.5;       ///< 1: avoid downtime at any cost in hosts; 0: use every host.
    std::uint32_t max_concurrency = 16; ///< Requests that one target runs at once.
    time_ms first_token_limit{2000};
    time_ms stream_idle_limit{1000};
    time_ms request_deadline{30000};
    time_ms queue_limit{1000}; ///< The longest wait for a target before a request is refused.
    std::vector<call_rule> calls;
};

/// A service, the profile that it uses, and its number of replicas.
struct service_rule {
    std::string name;
    std::string profile;
    std::uint32_t replicas = 1;
};

/// A company whose router calls the system.
struct customer_rule {
    std::string name;
    std::string key_sha256; ///< Digest of its API key.
    double weight = 1.0;
    double requests_per_second = 10.0; ///< In total over all entry hosts.
};

/// A complete configuration, as written by the operators.
struct configuration {
    std::vector<profile> profiles;
    std::vector<service_rule> services;
    std::vector<customer_rule> customers;

    /// Lookups by name; null when there is none.
    [[nodiscard]] const profile* find_profile(std::string_view name) const;
    [[nodiscard]] const service_rule* find_service(std::string_view name) const;
    [[nodiscard]] const profile* profile_of(std::string_view service) const;
    [[nodiscard]] const customer_rule* find_customer_by_key(std::string_view key_sha256) const;
};

/// The result of a check. Usable only when there are no findings.
struct checked_configuration {
    configuration config;
    findings faults;
};

/// Reads a configuration from TOML and validates all of it. All faults are reported together, with their
/// positions in `file`.
[[nodiscard]] checked_configuration parse_configuration(std::string_view toml, std::string_view file);

} // namespace coriander

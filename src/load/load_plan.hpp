#pragma once

#include "coriander/error.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace coriander {

/// A customer that sends requests, with its share of all requests.
struct load_customer {
    std::string name;
    std::string api_key;
    double share = 1.0;
};

/// Describes the load to generate.
struct load_plan {
    std::vector<std::string> entry_hosts; ///< `IP:port` of the entry hosts to contact first.
    std::vector<load_customer> customers;
    std::string service;       ///< Model service; empty: none.
    std::string plain_service; ///< Plain service; empty: none.
    double requests_per_second = 20.0;
    double seconds = 5.0;
    double plain_share = 0.0;          ///< Fraction of the requests that are plain calls.
    double non_repeatable_share = 0.0; ///< Fraction of the plain calls that must not be executed twice.
    double shared_prefix_share = 0.3;  ///< Fraction of the prompts that start with a common prefix.
    std::uint64_t max_tokens = 24;
    std::uint64_t seed = 1;
};

/// Parses "name:key:share,name:key:share". Errors: `invalid_input`.
[[nodiscard]] result<std::vector<load_customer>> parse_customers(const std::string& text);

} // namespace coriander

#pragma once

#include "coriander/relay/relay_manifest.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace coriander {

/// A manifest with the look-ups that requests need. Immutable after construction, so that it can be shared
/// between threads and swapped as a whole.
class route_table {
public:
    explicit route_table(relay_manifest manifest);
    route_table(const route_table&) = delete;
    route_table& operator=(const route_table&) = delete;

    /// Among the host's routes, the one with the longest prefix that begins the path; null without one.
    /// `target` may hold a query, which does not count.
    [[nodiscard]] const relay_route* find_route(std::string_view host_name, std::string_view target) const;

    /// The customer that holds the key; null for an unknown key.
    [[nodiscard]] const relay_customer* find_customer(std::string_view key) const;

    /// The service with this name; null without one.
    [[nodiscard]] const relay_service* find_service(const std::string& name) const;

    [[nodiscard]] const relay_manifest& manifest() const noexcept { return this->declared; }

private:
    struct text_hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const noexcept
        {
            return std::hash<std::string_view>{}(text);
        }
    };
    template <typename Value>
    using text_map = std::unordered_map<std::string, Value, text_hash, std::equal_to<>>;

    relay_manifest declared;
    text_map<text_map<const relay_route*>> routes; ///< By host name, then by prefix.
    text_map<const relay_customer*> customers;     ///< By key.
};

/// Chooses a service of the route by the weights. `draw` is uniform in [0, 1).
/// Precondition: the route has a service.
[[nodiscard]] const std::string& choose_service(const relay_route& route, double draw);

} // namespace coriander

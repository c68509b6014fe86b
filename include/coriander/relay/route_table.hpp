#pragma once

#include "coriander/relay/relay_manifest.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace coriander {

/// A manifest with lookup tables for request routing. Immutable after construction, so that it can be shared
/// between threads and replaced as a whole.
class route_table {
public:
    explicit route_table(relay_manifest manifest);
    route_table(const route_table&) = delete;
    route_table& operator=(const route_table&) = delete;

    /// The route of the host with the longest matching path prefix; null if there is none. A query in
    /// `target` is ignored.
    [[nodiscard]] const relay_route* find_route(std::string_view host_name, std::string_view target) const;

    /// The customer to which the key belongs; null for an unknown key.
    [[nodiscard]] const relay_customer* find_customer(std::string_view key) const;

    /// The service with this name; null if there is none.
    [[nodiscard]] const relay_service* find_service(const std::string& name) const;

    [[nodiscard]] const relay_manifest& manifest() const noexcept { return this->declarations; }

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

    relay_manifest declarations;
    text_map<text_map<const relay_route*>> routes; ///< By host name, then by path prefix.
    text_map<const relay_customer*> customers;     ///< By key.
};

/// Selects a service of the route at random, by weight. `draw` is a random number, uniform in [0, 1).
/// Precondition: the route has at least one service.
[[nodiscard]] const std::string& choose_service(const relay_route& route, double draw);

} // namespace coriander

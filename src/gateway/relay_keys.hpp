#pragma once

#include "coriander/message_mac.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace coriander {

/// The keys with which requests that are passed on to other gateways are marked. Each gateway draws one at
/// its start and sends it to its peers itself. Not thread-safe.
class relay_keys {
public:
    /// Records the key that the process `incarnation` of the gateway `name` has sent.
    void on_key(const std::string& name, std::uint64_t incarnation, const mac_key& key)
    {
        auto& known = this->keys[name];
        if (incarnation >= known.incarnation) {
            known = {incarnation, key};
        }
    }

    /// The key of that process; nothing if it has not sent this gateway any.
    [[nodiscard]] std::optional<mac_key> find(const std::string& name, std::uint64_t incarnation) const
    {
        const auto found = this->keys.find(name);
        const bool is_known = found != this->keys.end() && found->second.incarnation == incarnation;
        return is_known ? std::optional{found->second.key} : std::nullopt;
    }

private:
    struct process_key {
        std::uint64_t incarnation = 0;
        mac_key key{};
    };
    std::map<std::string, process_key> keys;
};

} // namespace coriander

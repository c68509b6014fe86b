#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>

namespace coriander {

/// The optional parts of the peers' protocol. The value is the feature's bit in messages and its number in
/// rows; it is never changed, and not used again once the feature is removed (docs/UPGRADES.md).
enum class peer_feature : std::uint8_t {
    /// Takes requests passed on by a gateway that can't reach the hosts, with a mark made with its own key
    /// (docs/RELAYED-REQUESTS.md).
    relayed_requests = 0,
    kept_request_reports = 1, ///< Reports the requests that it keeps on dissolving replicas.
    packed_messages = 2,      ///< Reads messages whose large parts are compressed.
    places = 3,               ///< Keeps places at targets for others.
};

/// A set of features. Keeps those that this build doesn't know.
class feature_set {
public:
    /// Features have numbers below this: a set is one 64-bit field of a message.
    static constexpr unsigned capacity = 64;

    constexpr feature_set() = default;
    constexpr feature_set(std::initializer_list<peer_feature> features)
    {
        for (const auto feature : features) {
            this->add_number(static_cast<unsigned>(feature));
        }
    }

    [[nodiscard]] static constexpr feature_set from_bits(std::uint64_t bits)
    {
        feature_set set;
        set.mask = bits;
        return set;
    }
    [[nodiscard]] constexpr std::uint64_t bits() const noexcept { return this->mask; }

    /// Adds the feature with this number, known or not. A number outside the capacity is ignored.
    constexpr void add_number(std::uint64_t number) noexcept
    {
        this->mask |= number < capacity ? std::uint64_t{1} << number : 0;
    }
    constexpr void add(feature_set others) noexcept { this->mask |= others.mask; }

    [[nodiscard]] constexpr bool contains_number(std::uint64_t number) const noexcept
    {
        return number < capacity && ((this->mask >> number) & 1U) != 0;
    }
    [[nodiscard]] constexpr bool contains(peer_feature feature) const noexcept
    {
        return this->contains_number(static_cast<unsigned>(feature));
    }

    friend constexpr bool operator==(feature_set, feature_set) = default;

private:
    std::uint64_t mask = 0;
};

/// The features that this build of the gateway understands.
inline constexpr feature_set gateway_features{peer_feature::relayed_requests,
                                              peer_feature::kept_request_reports,
                                              peer_feature::packed_messages, peer_feature::places};

/// The features' names, joined by "+"; those unknown to this build by number, and "none" for an empty set.
[[nodiscard]] std::string names_of(feature_set features);

} // namespace coriander

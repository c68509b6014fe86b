#pragma once

#include "coriander/config_record.hpp"
#include "coriander/error.hpp"
#include "coriander/lost_host.hpp"
#include "coriander/membership.hpp"
#include "coriander/message_mac.hpp"
#include "coriander/relay/crash_report.hpp"
#include "coriander/relay/load_update.hpp"
#include "coriander/relay/permit_message.hpp"
#include "coriander/replicas/kept_requests.hpp"
#include "coriander/strike_table.hpp"
#include "coriander/table_delta.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace coriander {

/// Request rate of one customer at one daemon.
struct customer_demand {
    std::string customer;
    float requests_per_second = 0.0F;
};

/// A message between daemons. The first identity and the first heartbeat are the sender's.
struct peer_message {
    std::vector<member_identity> identities;
    std::vector<member_heartbeat> beats;
    std::vector<strike_report> strikes;
    std::vector<customer_demand> demands;
    std::optional<config_record> config; ///< Set only if the peer has an older version.
    std::optional<table_delta> news;
    load_update loads;
    std::vector<lost_host> lost_hosts; ///< Hosts that the sender has detected as lost.
    crash_update crashes;
    permit_message permits;
    std::vector<kept_requests> kept; ///< On replicas whose owner is the recipient.
    /// For marks of requests that are passed on to the sender; see `relay_keys`.
    std::optional<mac_key> relay_key;
    /// A message with `config` and `news`, compressed (see `pack_message`); empty if it isn't.
    std::vector<std::uint8_t> packed;
    std::uint32_t packed_size = 0; ///< Its size before.
};

/// Serializes a message.
[[nodiscard]] std::vector<std::uint8_t> encode_peer_message(const peer_message& message);

/// Validates and deserializes a message. Errors: `malformed`.
[[nodiscard]] result<peer_message> decode_peer_message(std::span<const std::uint8_t> bytes);

} // namespace coriander

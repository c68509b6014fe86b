// Prints what the peers' features and builds cost in bytes on the wire, by the number of gateways.

#include "coriander/build_name.hpp"
#include "coriander/membership.hpp"
#include "gateway/gateway_peers.hpp"
#include "gateway/peer_round.hpp"
#include "peer/peer_message.hpp"

#include <algorithm>
#include <cstddef>
#include <iostream>
#include <string>

namespace {

using namespace coriander;

/// What a gateway reports in addition to the names and addresses.
enum class reported { nothing, features, features_and_build };

member_identity identity_of(std::size_t number, reported what)
{
    member_identity identity;
    identity.name = "edge-antwerpen-" + std::to_string(number);
    identity.incarnation = 1;
    identity.http_address =
        "10.1." + std::to_string(number / 250) + "." + std::to_string(number % 250) + ":8227";
    identity.peer_address =
        "10.1." + std::to_string(number / 250) + "." + std::to_string(number % 250) + ":7340";
    identity.failure_domain = "antwerpen";
    identity.region = "flanders";
    identity.features = what == reported::nothing ? feature_set{} : gateway_features;
    identity.build = what == reported::features_and_build ? "0.1.0+0123456789" : "";
    return identity;
}

/// The bytes that a gateway sends per second in identities and heartbeats.
double bytes_per_second(std::size_t gateways, reported what)
{
    membership members{identity_of(0, what)};
    const auto now = 10_s;
    for (std::size_t i = 1; i < gateways; ++i) {
        const auto identity = identity_of(i, what);
        members.add_identity(identity, now);
        members.merge_heartbeat({member_id(identity.name), 1, 1, 1, false, true}, now);
    }
    constexpr int rounds = 1000;
    double bytes = 0.0;
    for (int round = 0; round < rounds; ++round) {
        members.advance_heartbeat(1, false, true);
        peer_message message;
        message.identities = members.identities_to_send();
        message.beats = members.heartbeats_to_send(now);
        bytes += static_cast<double>(encode_peer_message(message).size());
    }
    const auto messages = static_cast<double>(std::min(peers_per_round, gateways - 1));
    return bytes / rounds * messages / gateway_peers::round_length.seconds();
}

} // namespace

int main()
{
    std::cout << "gateways  without  features  features and build  (bytes per second sent by one gateway)\n";
    for (const std::size_t gateways : {8U, 340U}) {
        std::cout << gateways << "  " << bytes_per_second(gateways, reported::nothing) << "  "
                  << bytes_per_second(gateways, reported::features) << "  "
                  << bytes_per_second(gateways, reported::features_and_build) << "\n";
    }
}

#pragma once

#include "peer/peer_message.hpp"

namespace coriander {

/// Compresses the parts of a message that can be large, rows of tables and the manifest, where that makes it
/// smaller. They are texts that resemble each other, and a reader sends them to dozens of daemons over a link
/// that may be slow. Only for peers that understand `peer_feature::packed_messages`.
[[nodiscard]] peer_message pack_message(peer_message message);

/// Restores what `pack_message` has compressed. Fails with `malformed` if the packed bytes are damaged, or
/// larger than a message may be.
[[nodiscard]] result<peer_message> unpack_message(peer_message message);

} // namespace coriander

#pragma once

#include "coriander/message_mac.hpp"
#include "gateway/relay_dialect.hpp"
#include "net/message_head.hpp"

#include <span>
#include <string>
#include <string_view>

namespace coriander {

/// What the mark of a relayed request covers, so that it is of no use for another one.
struct marked_request {
    std::string_view recipient; ///< Name of the gateway that the request is passed on to.
    std::string_view method;
    std::string_view target; ///< Path and query.
    std::string_view host_name;
    std::string_view attempt_id;
    std::string_view deadline_ms;
};

/// The mark with which the gateway `sender` passes on a request: the code in hexadecimal digits, a space and
/// the sender's name. `key` is the recipient's. Thread-safe.
[[nodiscard]] std::string make_relay_mark(std::span<const std::uint8_t> key, std::string_view sender,
                                          const marked_request& request);

/// Whether a gateway that has been sent this key made `mark` for this request. Thread-safe.
[[nodiscard]] bool is_valid_relay_mark(std::span<const std::uint8_t> key, std::string_view mark,
                                       const marked_request& request);

/// What the mark of a request with this head covers, received by the gateway `recipient`. The result refers
/// to the arguments.
[[nodiscard]] marked_request marked_request_of(const message_head& head, const relay_dialect& dialect,
                                               std::string_view recipient);

} // namespace coriander

#pragma once

#include "coriander/relay/target_pool.hpp"
#include "gateway/relay_context.hpp"
#include "net/message_head.hpp"

#include <span>

namespace coriander {

/// Records what the target's host states about itself in a response, and applies it to all targets at once.
/// `target` is the one to which the attempt was sent: the host list may show another incarnation by now. Must
/// be called on the event loop's thread.
void record_statements(relay_context& context, const relay_target& target, const message_head& head);

/// The same for statements that another daemon has passed on.
void merge_statements(relay_context& context, std::span<const host_statement> statements);

/// Sends requests that wait for a connection to a target which may get none now to another one.
void withdraw_forbidden(relay_context& context);

} // namespace coriander

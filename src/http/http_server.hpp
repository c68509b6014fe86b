#pragma once

#include "http/http_message.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace coriander {

/// The response to one request, complete or streamed. The methods may be called from any thread, but not
/// concurrently for one reply.
class http_reply {
public:
    virtual ~http_reply() = default;

    /// Sends a complete response. Precondition: nothing was sent before.
    virtual void send(const http_response& response) = 0;

    /// Starts a chunked response. Precondition: nothing was sent before.
    virtual void begin_stream(const http_response& head) = 0;

    /// Sends a chunk. Precondition: `begin_stream` was called, `finish` was not.
    virtual void append(std::string_view chunk) = 0;

    /// Ends a stream.
    virtual void finish() = 0;

    /// Whether the client is known to have disconnected.
    [[nodiscard]] virtual bool disconnected() const = 0;
};

/// HTTP server with a pool of threads.
class http_server {
public:
    using handler = std::function<void(std::shared_ptr<const http_request>, std::shared_ptr<http_reply>)>;

    /// Binds to `address`:`port` (0 picks a free port) and serves on `threads` threads until destroyed.
    /// Throws `std::runtime_error` if the address can't be bound.
    http_server(const std::string& address, std::uint16_t port, unsigned threads, handler on_request);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// The port in use. Thread-safe.
    [[nodiscard]] std::uint16_t port() const noexcept;

private:
    struct state;
    std::unique_ptr<state> self;
};

} // namespace coriander

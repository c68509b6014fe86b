#pragma once

#include "gateway/relay_session.hpp"
#include "net/http_listener.hpp"

#include "support/event_loop.hpp"
#include "support/scripted_server.hpp"
#include "support/test_caller.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

namespace coriander {

inline std::string signed_head(const std::string& more)
{
    return "HTTP/1.1 200 OK\r\nCoriander-Attempt: a1\r\nCoriander-Signature: s\r\n" + more + "\r\n";
}

inline const std::string stream_head = signed_head("Transfer-Encoding: chunked\r\n");

inline std::string chunk_of_event(int number)
{
    const auto event = "id: " + std::to_string(number) + "\ndata: t\n\n";
    std::array<char, 16> size{};
    (void)std::snprintf(size.data(), size.size(), "%zx\r\n", event.size());
    return size.data() + event + "\r\n";
}

inline const std::string last_chunk = "0\r\n\r\n";
inline const std::string not_run_response =
    "HTTP/1.1 503 Busy\r\nCoriander-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";

/// A gateway's request path in front of two scripted targets, `first` and `second`, of the service `desk`.
struct relay_fixture {
    using script = scripted_server::request_handler;

    relay_fixture(repetition kind, script first_script, script second_script)
        : first{this->loop.context(), std::move(first_script)}, second{this->loop.context(),
                                                                       std::move(second_script)}
    {
        relay_manifest manifest;
        manifest.version = 1;
        relay_route route;
        route.name = "to-desk";
        route.host_name = "desk.example";
        route.path_prefix = "/";
        route.services = {{"desk", 1.0}};
        route.kind = kind;
        route.is_stream = kind == repetition::resumable;
        route.max_attempts = 2;
        route.time_limit = this->time_limit;
        manifest.routes = {route};
        manifest.services["desk"].name = "desk";
        manifest.customers = {{"gent", {"key"}, std::nullopt}};
        this->context.routes = std::make_shared<const route_table>(std::move(manifest));
        this->set_targets({this->target("first", this->first), this->target("second", this->second)});
        connection_handlers handlers;
        handlers.on_request = [this](const std::shared_ptr<caller_connection>& caller, incoming_request one) {
            std::make_shared<relay_session>(this->context, caller, std::move(one))->start();
        };
        handlers.limits = [] { return connection_limits{}; };
        handlers.is_closing = [] { return false; };
        this->listener = std::make_shared<http_listener>(
            this->loop.context(), asio::ip::tcp::endpoint{asio::ip::make_address("127.0.0.1"), 0}, handlers);
        this->listener->start();
        this->caller = std::make_unique<test_caller>(this->loop.context(), this->listener->port());
    }
    ~relay_fixture() { this->listener->stop(); }
    relay_fixture(const relay_fixture&) = delete;
    relay_fixture& operator=(const relay_fixture&) = delete;

    static relay_target target(const std::string& id, const scripted_server& server)
    {
        // The first target is in the gateway's failure domain, so it is chosen first.
        return {id, id, server.address(), id == "first" ? "here" : "there", {}, 1, 100, 1.0};
    }
    void set_targets(const std::vector<relay_target>& targets)
    {
        this->context.service("desk").board.set_targets(targets);
    }

    void send(const std::string& more_headers = {})
    {
        this->caller->send("POST /a?b=c HTTP/1.1\r\nHost: desk.example\r\nCoriander-Attempt: a1\r\n"
                           "Authorization: Bearer key\r\nCoriander-Deadline-Ms: 60000\r\nX-Own: 1\r\n" +
                           more_headers + "Content-Length: 2\r\n\r\nhi");
    }
    /// Sends a request and waits for the end of the response.
    exchange_end exchange(const std::string& more_headers = {})
    {
        this->send(more_headers);
        REQUIRE(this->loop.run_until([this] { return this->caller->end.has_value(); }));
        return *this->caller->end;
    }
    /// The request on `first`. Precondition: there is exactly one.
    std::shared_ptr<relay_session> session_on_first()
    {
        auto& sessions = this->context.service("desk").sessions["first"];
        REQUIRE(sessions.size() == 1);
        return (*sessions.begin())->shared_from_this();
    }
    /// Sends a request and waits until the caller has received the start of the stream from `first`. Returns
    /// the request.
    std::shared_ptr<relay_session> begin_stream()
    {
        this->send();
        REQUIRE(this->loop.run_until([this] { return !this->caller->body.empty(); }));
        return this->session_on_first();
    }
    [[nodiscard]] std::size_t requests_sent() const
    {
        return this->first.requests().size() + this->second.requests().size();
    }

    time_ms time_limit = 60_s;
    event_loop loop;
    scripted_server first;
    scripted_server second;
    relay_context context{this->loop.context(), relay_dialect{}, "here"};
    std::shared_ptr<http_listener> listener;
    std::unique_ptr<test_caller> caller;
};

inline relay_fixture::script respond_with(const std::string& text)
{
    return [text](tcp_link& link, const std::string& /*request*/) { link.write(text); };
}

inline relay_fixture::script respond_and_close(const std::string& text)
{
    return [text](tcp_link& link, const std::string& /*request*/) {
        link.write(text);
        link.close_when_sent();
    };
}

/// A fixture whose first target begins a stream of two events, and whose second one has the rest of it.
inline relay_fixture divided_stream()
{
    return {repetition::resumable, respond_with(stream_head + chunk_of_event(1)),
            respond_with(stream_head + chunk_of_event(2) + last_chunk)};
}

inline const std::string ok_response = signed_head("Content-Length: 2\r\n") + "ok";

inline bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace coriander

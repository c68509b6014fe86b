#include "http/http_client.hpp"

#include "support/invalid_field_lines.hpp"
#include "support/manual_server.hpp"

#include <asio.hpp>

#include <catch2/catch.hpp>

#include <atomic>
#include <future>
#include <string>
#include <thread>
#include <vector>

namespace coriander {
namespace {

/// Answers the first request on each connection and closes the connection on the second one.
class closing_server {
public:
    closing_server()
        : acceptor{context, {asio::ip::make_address("127.0.0.1"), 0}}, thread{[this] { this->run(); }}
    {
    }

    ~closing_server()
    {
        this->stopping = true;
        // Unblocks the accept of the thread.
        asio::ip::tcp::socket last{this->context};
        asio::error_code ignored;
        last.connect(this->acceptor.local_endpoint(), ignored);
        last.close(ignored);
        this->thread.join();
    }

    [[nodiscard]] std::string url() const
    {
        return "http://127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port()) + "/book";
    }

    std::atomic<int> requests{0};

private:
    void run()
    {
        std::vector<std::thread> connections;
        while (!this->stopping) {
            asio::ip::tcp::socket socket{this->context};
            this->acceptor.accept(socket);
            connections.emplace_back([this, socket = std::move(socket)]() mutable { this->serve(socket); });
        }
        for (auto& one : connections) {
            one.join();
        }
    }

    void serve(asio::ip::tcp::socket& socket)
    {
        asio::error_code problem;
        std::string buffer;
        for (int on_connection = 1; !problem; ++on_connection) {
            asio::read_until(socket, asio::dynamic_buffer(buffer), "\r\n\r\nbody", problem);
            if (problem) {
                return;
            }
            buffer.clear();
            ++this->requests;
            if (on_connection > 1) {
                return;
            }
            asio::write(socket, asio::buffer(std::string{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"}),
                        problem);
        }
    }

    asio::io_context context;
    asio::ip::tcp::acceptor acceptor;
    std::atomic<bool> stopping{false};
    std::thread thread;
};

http_call post_to(const closing_server& server, bool fresh)
{
    http_call call;
    call.method = "POST";
    call.url = server.url();
    call.body = "body";
    call.fresh_connection = fresh;
    return call;
}

/// Runs one call to a server that sends `response` and closes the connection.
http_result call_with_response(const std::string& response)
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor{context, {asio::ip::make_address("127.0.0.1"), 0}};
    std::thread server{[&] {
        auto socket = acceptor.accept();
        std::string request;
        asio::error_code ended;
        asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", ended);
        asio::write(socket, asio::buffer(response), ended);
    }};
    http_client client;
    http_call call;
    call.url = "http://127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()) + "/";
    call.total_timeout = 60_s;
    auto result = client.perform(call);
    server.join();
    return result;
}

} // namespace

TEST_CASE(
    "http client: libcurl resends a request when a reused connection closes, which fresh_connection avoids")
{
    closing_server server;
    {
        http_client client;
        CHECK(client.perform(post_to(server, false)).ok());
        CHECK(client.perform(post_to(server, false)).ok());
    }
    CHECK(server.requests == 3);
}

TEST_CASE("http client: a request on a fresh connection is sent exactly once")
{
    closing_server server;
    {
        http_client client;
        CHECK(client.perform(post_to(server, false)).ok());
        CHECK(client.perform(post_to(server, true)).ok());
        CHECK(client.perform(post_to(server, true)).ok());
    }
    CHECK(server.requests == 3);
}

TEST_CASE("http client: a refused connection is reported as not sent")
{
    http_client client;
    http_call call;
    call.url = "http://127.0.0.1:1/";
    const auto end = client.perform(call);
    CHECK(end.outcome == http_outcome::not_sent);
    CHECK(end.refused);
}

TEST_CASE("http client: an endless response is aborted before the timeout")
{
    const auto* const head = GENERATE("HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\n");
    const std::string more = "X-More: " + std::string(1024, 'x') + "\r\n";
    CAPTURE(head);
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor{context, {asio::ip::make_address("127.0.0.1"), 0}};
    std::thread server{[&] {
        auto socket = acceptor.accept();
        asio::error_code ended;
        asio::write(socket, asio::buffer(std::string{head}), ended);
        while (!ended) {
            asio::write(socket, asio::buffer(more), ended);
        }
    }};
    http_client client;
    http_call call;
    call.url = "http://127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()) + "/";
    call.total_timeout = 60_s;
    const auto end = client.perform(call);
    server.join();
    CHECK(end.outcome == http_outcome::lost);
    CHECK(end.body.size() <= 8U << 20U);
    CHECK(end.message.find("Timeout") == std::string::npos);
}

TEST_CASE("http client: a response with an invalid status is lost")
{
    const auto* const status = GENERATE("000", "0", "20", "099", "600", "999");
    CAPTURE(status);
    const auto end =
        call_with_response("HTTP/1.1 " + std::string{status} + " OK\r\nContent-Length: 2\r\n\r\nok");
    CHECK(end.outcome == http_outcome::lost);
    CHECK(end.body.empty());
}

TEST_CASE("http client: a response is lost whose head has a blank or a control byte in a field's name")
{
    for (const auto& line : invalid_field_lines()) {
        CAPTURE(line);
        const auto end = call_with_response("HTTP/1.1 200 OK\r\nServer: s\r\n" + line + "\r\nok");
        CHECK(end.outcome == http_outcome::lost);
        CHECK(end.body.empty());
    }
}

TEST_CASE("http client: a response without framing is lost when the connection is reset during the upload")
{
    constexpr std::size_t more_than_the_sockets_hold = 32U << 20U;
    manual_server server;
    http_client client;
    http_call call;
    call.method = "POST";
    call.url = "http://" + server.address() + "/";
    call.body = std::string(more_than_the_sockets_hold, 'u');
    call.total_timeout = 60_s;
    std::thread responder{[&] {
        server.accept();
        server.wait_for_bytes();
        server.send("HTTP/1.1 200 OK\r\n\r\npart");
        server.reset();
    }};
    const auto end = client.perform(call);
    responder.join();
    CHECK(end.outcome == http_outcome::lost);
}

TEST_CASE("http client: interim responses, and trailers of a chunked body, are read")
{
    const auto end =
        call_with_response("HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nZ: z\r\nY: y\r\n\r\n");
    CHECK(end.ok());
    CHECK(end.body == "ok");
}

TEST_CASE("http client: a cancelled call ends as cancelled")
{
    asio::io_context context;
    asio::ip::tcp::acceptor silent{context, {asio::ip::make_address("127.0.0.1"), 0}};
    http_client client;
    http_call call;
    call.url = "http://127.0.0.1:" + std::to_string(silent.local_endpoint().port()) + "/";
    std::promise<http_result> ended;
    const auto id = client.start(call, {}, [&](http_result end) { ended.set_value(std::move(end)); });
    client.cancel(id);
    CHECK(ended.get_future().get().outcome == http_outcome::cancelled);
}

} // namespace coriander

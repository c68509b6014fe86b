#include "http/http_server.hpp"

#include <restinio/all.hpp>

#include <atomic>
#include <thread>
#include <vector>

namespace coriander {
namespace {

// Streams may take long. The router enforces the timeouts of requests, so that the library's is generous.
constexpr auto request_timeout = std::chrono::hours{1};
constexpr auto idle_connection_timeout = std::chrono::minutes{2};
constexpr auto write_timeout = std::chrono::seconds{30};
constexpr std::size_t max_body_bytes = 4U << 20U;

using chunked_response = restinio::response_builder_t<restinio::chunked_output_t>;

restinio::http_status_line_t status_line(int status)
{
    const auto code = restinio::http_status_code_t{static_cast<std::uint16_t>(status)};
    const char* reason = http_status_str(static_cast<http_status>(status));
    return restinio::http_status_line_t{code, reason};
}

template <typename Builder>
void add_headers(Builder& builder, const http_response& response)
{
    builder.append_header(restinio::http_field::content_type, response.content_type);
    for (const auto& field : response.headers) {
        builder.append_header(field.name, field.value);
    }
}

class restinio_reply final : public http_reply {
public:
    explicit restinio_reply(restinio::request_handle_t handle) : request{std::move(handle)} {}

    void send(const http_response& response) override
    {
        auto builder = this->request->create_response(status_line(response.status));
        add_headers(builder, response);
        builder.set_body(response.body).done();
    }

    void begin_stream(const http_response& head) override
    {
        this->stream.emplace(
            this->request->create_response<restinio::chunked_output_t>(status_line(head.status)));
        add_headers(*this->stream, head);
    }

    void append(std::string_view chunk) override
    {
        this->stream->append_chunk(std::string{chunk});
        // The callback may outlive this reply and therefore shares ownership of the flag.
        this->stream->flush([is_disconnected = this->is_disconnected](const auto& error) {
            if (error) {
                *is_disconnected = true;
            }
        });
    }

    void finish() override
    {
        this->stream->done();
        this->stream.reset();
    }

    [[nodiscard]] bool disconnected() const override { return *this->is_disconnected; }

private:
    restinio::request_handle_t request;
    std::optional<chunked_response> stream;
    std::shared_ptr<std::atomic<bool>> is_disconnected = std::make_shared<std::atomic<bool>>(false);
};

std::shared_ptr<const http_request> to_request(const restinio::request_handle_t& handle)
{
    auto request = std::make_shared<http_request>();
    request->method = handle->header().method().c_str();
    request->path = std::string{handle->header().path()};
    request->query = std::string{handle->header().query()};
    request->body = handle->body();
    handle->header().for_each_field([&](const auto& field) {
        request->headers.push_back({field.name(), field.value()});
    });
    return request;
}

} // namespace

std::string http_request::header(const std::string& name) const
{
    for (const auto& field : this->headers) {
        if (restinio::impl::is_equal_caseless(field.name, name)) {
            return field.value;
        }
    }
    return {};
}

std::string http_request::query_value(const std::string& name) const
{
    try {
        const auto values = restinio::parse_query(this->query);
        if (const auto found = values.get_param(name)) {
            return std::string{*found};
        }
    }
    catch (const restinio::exception_t&) {
        return {}; // A malformed query has no values.
    }
    return {};
}

struct http_server::state {
    using server_type = restinio::http_server_t<restinio::default_traits_t>;
    restinio::asio_ns::io_context context;
    std::unique_ptr<server_type> server;
    std::vector<std::thread> threads;
    std::atomic<std::uint16_t> port{0};
};

http_server::http_server(const std::string& address, std::uint16_t port, unsigned threads, handler on_request)
    : self{std::make_unique<state>()}
{
    auto serve = [on_request = std::move(on_request)](const restinio::request_handle_t& handle) {
        on_request(to_request(handle), std::make_shared<restinio_reply>(handle));
        return restinio::request_accepted();
    };
    auto store_port = [this](auto& acceptor) { this->self->port = acceptor.local_endpoint().port(); };
    this->self->server = std::make_unique<state::server_type>(
        restinio::external_io_context(this->self->context), [&](auto& settings) {
            settings.address(address).port(port).request_handler(serve);
            settings.handle_request_timeout(request_timeout);
            settings.read_next_http_message_timelimit(idle_connection_timeout);
            settings.write_http_response_timelimit(write_timeout);
            settings.incoming_http_msg_limits(
                restinio::incoming_http_msg_limits_t{}.max_body_size(max_body_bytes));
            settings.acceptor_post_bind_hook(store_port);
            // Disables Nagle's algorithm, so that a token doesn't wait for the acknowledgement of the
            // previous one.
            settings.socket_options_setter(
                [](auto& options) { options.set_option(restinio::asio_ns::ip::tcp::no_delay{true}); });
        });
    this->self->server->open_sync();
    for (unsigned i = 0; i < threads; ++i) {
        this->self->threads.emplace_back([this] { this->self->context.run(); });
    }
}

http_server::~http_server()
{
    restinio::asio_ns::post(this->self->context, [this] { this->self->server->close_sync(); });
    this->self->context.stop();
    for (auto& thread : this->self->threads) {
        thread.join();
    }
}

std::uint16_t http_server::port() const noexcept
{
    return this->self->port;
}

} // namespace coriander

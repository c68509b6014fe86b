#include "net/http_channel.hpp"

#include <charconv>

namespace coriander {
namespace {

/// The `timeout` of the Keep-Alive header; zero if there is none.
time_ms keep_alive_of(const message_head& head)
{
    constexpr std::string_view field = "timeout=";
    const auto text = head.header("Keep-Alive");
    const auto at = text.find(field);
    std::int64_t seconds = 0;
    if (at != std::string_view::npos) {
        const auto value = text.substr(at + field.size());
        std::from_chars(value.data(), value.data() + value.size(), seconds);
    }
    return time_ms{seconds * 1000};
}

} // namespace

http_channel::http_channel(asio::io_context& loop, const link_liveness& liveness)
    : link{std::make_shared<tcp_link>(loop, liveness)}, parser{message_parser::side::responses, *this}
{
}

void http_channel::connect(const asio::ip::tcp::endpoint& to, time_ms timeout)
{
    auto self = this->weak_from_this();
    this->link->listen(
        [self](std::string_view bytes) {
            if (const auto channel = self.lock()) {
                channel->on_bytes(bytes);
            }
        },
        [self](link_end how) {
            if (const auto channel = self.lock()) {
                channel->on_link_end(how);
            }
        });
    this->link->connect(to, timeout, nullptr);
}

void http_channel::send(std::string_view request, response_receiver& receiver, bool is_head_request)
{
    this->receiver = &receiver;
    this->reusable = false;
    this->parser.begin(is_head_request);
    this->link->write(request);
}

void http_channel::redirect(response_receiver& to) noexcept
{
    if (this->receiver != nullptr) {
        this->receiver = &to;
    }
}

void http_channel::close()
{
    const bool has_exchange = std::exchange(this->receiver, nullptr) != nullptr;
    this->reusable = false;
    if (has_exchange) {
        this->link->reset();
        return;
    }
    this->link->close();
}

void http_channel::on_bytes(std::string_view bytes)
{
    const auto self = this->shared_from_this(); // The receiver may release the channel.
    if (this->receiver == nullptr) {
        this->close(); // Unsolicited bytes: no request is in flight.
        return;
    }
    const auto used = this->parser.feed(bytes);
    if (this->receiver == nullptr) {
        return;
    }
    if (this->parser.is_broken()) {
        this->finish(exchange_end::malformed);
    }
    else if (this->parser.is_complete()) {
        // An early response leaves part of the request unsent, so that the connection can't be reused.
        this->reusable = this->server_keeps_alive && used == bytes.size() && this->link->unsent() == 0;
        this->finish(exchange_end::complete);
    }
}

void http_channel::on_link_end(link_end how)
{
    const auto self = this->shared_from_this();
    this->reusable = false;
    if (this->receiver == nullptr) {
        return;
    }
    if (how == link_end::not_connected) {
        this->finish(exchange_end::not_sent);
        return;
    }
    if (how == link_end::finished) {
        this->parser.feed_end();
    }
    this->finish(this->parser.is_complete() ? exchange_end::complete : exchange_end::lost);
}

void http_channel::on_message_head(message_head head)
{
    this->server_keeps_alive = head.keeps_connection && head.has_framing;
    this->keep_alive_time = keep_alive_of(head);
    if (this->receiver != nullptr) {
        this->receiver->on_response_head(std::move(head));
    }
}

void http_channel::on_message_body(std::string_view bytes)
{
    if (this->receiver != nullptr) {
        this->receiver->on_response_body(bytes);
    }
}

void http_channel::finish(exchange_end end)
{
    auto* done = std::exchange(this->receiver, nullptr);
    if (end != exchange_end::complete || !this->reusable) {
        this->reusable = false;
        this->link->close();
    }
    this->link->resume_reading();
    if (done != nullptr) {
        done->on_exchange_end(end);
    }
}

} // namespace coriander

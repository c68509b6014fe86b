#include "net/caller_connection.hpp"

#include "coriander/clock.hpp"
#include "runtime/log.hpp"

#include <asio/post.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <cstdio>
#include <utility>

namespace coriander {
namespace {

constexpr int request_timeout_status = 408;
constexpr int bad_request_status = 400;
constexpr int body_too_large_status = 413;
constexpr int header_too_large_status = 431;
constexpr int no_room_status = 503;
/// In seconds; connections that stall are ended after one.
constexpr const char* retry_after_lack_of_room = "1";

/// Reading pauses when more than this many bytes of pipelined requests wait behind a pending one.
constexpr std::size_t max_unparsed_bytes = 65536;
/// Pipelined requests wait while the caller has not read more than this of the answers before them.
constexpr std::size_t max_unread_answers = 262144;
/// A larger buffer of received bytes is released once it is empty.
constexpr std::size_t kept_buffer_bytes = 16384;
/// Smallest step by which a body's memory grows.
constexpr std::size_t min_body_step = 4096;
/// A request is held once while it is answered, and once more on its way to a target.
constexpr std::size_t copies_while_answered = 2;

std::string chunk_text(std::string_view bytes)
{
    std::array<char, 24> size{};
    const int length = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    std::string text{size.data(), static_cast<std::size_t>(length)};
    return text.append(bytes).append("\r\n");
}

} // namespace

time_ms body_time_left(const connection_limits& limits, time_ms head_read_at, time_ms received_at,
                       time_ms now)
{
    const auto end = std::min(received_at + limits.header_timeout, head_read_at + limits.body_timeout);
    return std::max(time_ms{}, end - now);
}

caller_connection::caller_connection(asio::ip::tcp::socket socket,
                                     std::shared_ptr<const connection_handlers> handlers)
    : link{std::make_shared<tcp_link>(std::move(socket))}, handlers{std::move(handlers)},
      parser{message_parser::side::requests, *this}, timer{this->link->executor()}
{
}

caller_connection::~caller_connection()
{
    this->leave_budget();
    this->link->set_read_gate(nullptr);
}

void caller_connection::start()
{
    const auto& budget = this->handlers->budget;
    if (budget != nullptr && !budget->add(*this, monotonic_clock{}.now())) {
        this->link->close();
        return;
    }
    if (budget != nullptr) {
        this->link->set_read_gate([this] { return this->bytes_to_read(); });
    }
    // The callbacks form a reference cycle that keeps the connection alive until the link has ended.
    auto self = this->shared_from_this();
    this->link->listen([self](std::string_view bytes) { self->on_bytes(bytes); },
                       [self](link_end how) { self->on_link_end(how); });
    this->wait_for_request();
    this->link->start();
}

void caller_connection::arm_timer(time_ms limit)
{
    this->timer.expires_after(std::chrono::milliseconds{limit.count()});
    const auto armed = ++this->timer_generation;
    this->timer.async_wait([self = this->weak_from_this(), armed](const asio::error_code& cancelled) {
        const auto connection = self.lock();
        if (cancelled || !connection || connection->timer_generation != armed) {
            return;
        }
        connection->on_timeout();
    });
}

void caller_connection::on_timeout()
{
    // After a stall of this process, the timer's handler may run before that of bytes that arrived in time.
    const auto expired = this->timer_generation;
    this->link->read_available();
    if (this->timer_generation != expired || !this->link->is_open()) {
        return;
    }
    if (this->waits_for_room) {
        this->arm_timer(this->limits.header_timeout);
        return;
    }
    if (this->parser.has_begun()) {
        if (!this->has_time_left()) {
            this->reject(request_timeout_status);
        }
        return;
    }
    const auto left = this->idle_since + this->handlers->limits().idle_timeout - monotonic_clock{}.now();
    if (left > time_ms{}) {
        this->arm_timer(left);
        return;
    }
    this->link->close();
}

std::size_t caller_connection::bytes_to_read()
{
    auto& budget = *this->handlers->budget;
    if (this->is_pending()) {
        // Requests that are pipelined behind it. Reading goes on after its response.
        const auto most = budget.is_tight() ? min_body_step : max_unparsed_bytes;
        return most - std::min(most, this->unparsed.size());
    }
    const auto self = this->shared_from_this(); // The budget may end the connection.
    const auto allowed = budget.may_read(*this, monotonic_clock{}.now());
    this->waits_for_room = allowed == 0;
    return allowed;
}

bool caller_connection::has_time_left()
{
    if (!this->parser.has_head()) {
        return false;
    }
    const auto left =
        body_time_left(this->limits, this->head_read_at, this->received_at, monotonic_clock{}.now());
    if (left > time_ms{}) {
        this->arm_timer(left);
    }
    return left > time_ms{};
}

void caller_connection::wait_for_request()
{
    this->idle_since = monotonic_clock{}.now();
    this->arm_timer(this->handlers->limits().idle_timeout);
}

void caller_connection::disarm_timer()
{
    ++this->timer_generation;
    this->timer.cancel();
}

void caller_connection::on_bytes(std::string_view bytes)
{
    const auto self = this->shared_from_this();
    this->unparsed.append(bytes);
    this->received_at = monotonic_clock{}.now();
    if (!this->is_pending() && this->link->unsent() <= max_unread_answers) {
        this->parse();
    }
    else if (this->unparsed.size() > max_unparsed_bytes) {
        this->link->pause_reading();
    }
    this->note_held();
}

void caller_connection::note_held()
{
    if (this->unparsed.empty() && this->unparsed.capacity() > kept_buffer_bytes) {
        this->unparsed = {};
    }
    if (this->handlers->budget != nullptr) {
        this->handlers->budget->update(*this, monotonic_clock{}.now());
    }
}

void caller_connection::leave_budget()
{
    if (this->handlers->budget != nullptr) {
        this->handlers->budget->remove(*this);
    }
}

std::size_t caller_connection::held_bytes() const
{
    const auto head_bytes = this->parser.has_head() ? 0 : this->parser.head_bytes();
    return this->request.body.capacity() + this->answering_bytes + this->unparsed.capacity() + head_bytes +
           this->link->unsent();
}

void caller_connection::end_for_room(std::optional<int> status)
{
    const auto self = this->shared_from_this();
    const bool is_incomplete =
        this->parser.has_begun() && !this->is_pending() && !this->closes_after_response;
    if (!status || !is_incomplete || this->link->unsent() > 0) {
        this->abort();
        return;
    }
    this->reject(*status);
    this->request = {};
    this->unparsed = {};
}

void caller_connection::read_on()
{
    // The time spent waiting was not the caller's.
    this->waits_for_room = false;
    this->received_at = monotonic_clock{}.now();
    this->link->resume_reading();
}

void caller_connection::parse()
{
    if (!this->parser.has_begun() && !this->unparsed.empty()) {
        this->limits = this->handlers->limits();
        this->arm_timer(this->limits.header_timeout);
    }
    const auto used = this->parser.feed(this->unparsed);
    this->unparsed.erase(0, used);
    if (this->parser.head_bytes() > this->limits.max_header_bytes) {
        this->reject(header_too_large_status);
    }
    else if (this->is_body_too_large) {
        this->reject(body_too_large_status);
    }
    else if (this->parser.is_broken()) {
        this->reject(bad_request_status);
    }
    else if (this->parser.is_complete()) {
        this->disarm_timer();
        this->stage = response_stage::pending;
        this->request.arrived = monotonic_clock{}.now();
        this->answering_bytes = copies_while_answered * this->request.body.size() + this->parser.head_bytes();
        this->handlers->on_request(this->shared_from_this(), std::exchange(this->request, {}));
    }
}

void caller_connection::on_message_head(message_head head)
{
    this->caller_keeps_alive = head.keeps_connection;
    this->caller_supports_chunks = head.supports_chunks;
    this->head_read_at = monotonic_clock{}.now();
    const auto length = head.header("Content-Length");
    std::uint64_t announced = 0;
    const auto parsed = std::from_chars(length.data(), length.data() + length.size(), announced);
    this->is_body_too_large = parsed.ec == std::errc::result_out_of_range ||
                              (parsed.ec == std::errc{} && announced > this->limits.max_body_bytes);
    this->request.head = std::move(head);
}

void caller_connection::on_message_body(std::string_view bytes)
{
    this->is_body_too_large =
        this->is_body_too_large || this->request.body.size() + bytes.size() > this->limits.max_body_bytes;
    if (!this->is_body_too_large) {
        this->grow_body(bytes.size());
        this->request.body.append(bytes);
    }
}

void caller_connection::grow_body(std::size_t more)
{
    auto& body = this->request.body;
    const auto needed = body.size() + more;
    if (needed > body.capacity()) {
        body.reserve(needed + std::max(min_body_step, body.size() / 4));
    }
}

void caller_connection::on_link_end(link_end /*how*/)
{
    const auto self = this->shared_from_this();
    this->leave_budget();
    this->disarm_timer();
    if (const auto listener = std::exchange(this->disconnected, nullptr); listener && this->is_pending()) {
        listener();
    }
    this->stage = response_stage::none;
}

bool caller_connection::may_write(response_stage expected)
{
    if (!this->link->is_open()) {
        return false;
    }
    if (this->stage != expected) {
        log_event(event::response_conflict,
                  {{"stage", static_cast<int>(this->stage)}, {"expected", static_cast<int>(expected)}});
        this->abort();
        return false;
    }
    return true;
}

bool caller_connection::should_close() const
{
    // Pipelined requests that have been read are answered before a shutdown closes the connection.
    return !this->caller_keeps_alive || this->closes_after_response ||
           (this->handlers->is_closing() && this->unparsed.empty());
}

void caller_connection::add_connection_header(std::vector<http_header>& headers)
{
    this->closes_after_response = this->should_close();
    if (this->closes_after_response) {
        headers.push_back({"Connection", "close"});
    }
}

void caller_connection::send(int status, std::vector<http_header> headers, std::string_view body)
{
    if (!this->may_write(response_stage::pending)) {
        return;
    }
    headers.push_back({"Content-Length", std::to_string(body.size())});
    this->add_connection_header(headers);
    auto text = response_head_text(status, headers);
    text.append(body);
    this->link->write(text);
    this->finish_response();
}

void caller_connection::begin_stream(int status, std::vector<http_header> headers)
{
    if (!this->may_write(response_stage::pending)) {
        return;
    }
    this->stage = response_stage::streaming;
    if (this->caller_supports_chunks) {
        headers.push_back({"Transfer-Encoding", "chunked"});
    }
    else {
        this->caller_keeps_alive = false;
        this->link->reset_unless_sent();
    }
    this->add_connection_header(headers);
    this->link->write(response_head_text(status, headers));
}

void caller_connection::append(std::string_view part)
{
    if (part.empty() || !this->may_write(response_stage::streaming)) {
        return; // An empty chunk would end the response.
    }
    const auto unsent_before = this->link->unsent();
    if (this->caller_supports_chunks) {
        this->link->write(chunk_text(part));
    }
    else {
        this->link->write(part);
    }
    if (this->link->unsent() != unsent_before) {
        this->note_held();
    }
}

void caller_connection::finish_stream()
{
    if (!this->may_write(response_stage::streaming)) {
        return;
    }
    if (this->caller_supports_chunks) {
        this->link->write("0\r\n\r\n");
    }
    this->finish_response();
}

void caller_connection::finish_response()
{
    this->disconnected = nullptr;
    this->stage = response_stage::none;
    this->answering_bytes = 0;
    this->link->on_drained(nullptr);
    this->note_held();
    if (this->closes_after_response) {
        this->disarm_timer();
        this->link->close_when_sent();
        return;
    }
    this->parser.begin();
    this->request = {};
    this->link->resume_reading();
    if (this->unparsed.empty()) {
        this->wait_for_request();
        return;
    }
    if (this->link->unsent() > max_unread_answers) {
        this->link->on_drained([self = this->weak_from_this()] {
            if (const auto connection = self.lock()) {
                connection->continue_pipelined();
            }
        });
        return;
    }
    this->continue_pipelined();
}

void caller_connection::continue_pipelined()
{
    this->link->on_drained(nullptr);
    asio::post(this->link->executor(), [self = this->shared_from_this()] {
        if (!self->is_pending() && !self->closes_after_response && self->link->is_open()) {
            self->parse();
            self->note_held();
        }
    });
}

void caller_connection::read_available()
{
    const auto self = this->shared_from_this();
    this->link->read_available();
}

bool caller_connection::is_busy() const
{
    if (!this->link->is_open()) {
        return false;
    }
    const bool is_closing = this->closes_after_response && !this->is_pending();
    const bool is_reading = this->parser.has_begun() || !this->unparsed.empty();
    return this->link->unsent() > 0 || this->is_pending() || (is_reading && !is_closing);
}

void caller_connection::abort()
{
    this->disconnected = nullptr;
    this->stage = response_stage::none;
    this->answering_bytes = 0;
    this->leave_budget();
    this->disarm_timer();
    this->link->close();
}

void caller_connection::reject(int status)
{
    this->closes_after_response = true;
    this->stage = response_stage::pending;
    std::vector<http_header> headers;
    if (status == no_room_status) {
        headers.push_back({"Retry-After", retry_after_lack_of_room});
    }
    this->send(status, std::move(headers), {});
}

} // namespace coriander

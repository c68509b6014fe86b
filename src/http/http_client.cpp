#include "http/http_client.hpp"

#include "http/response_head_check.hpp"

#include <curl/curl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <future>
#include <map>
#include <mutex>
#include <thread>

namespace coriander {
namespace {

constexpr int poll_timeout_ms = 1000;
constexpr unsigned tcp_user_timeout_ms = 5000;
constexpr long max_idle_connection_age_s = 20;

/// libcurl must be initialized once per process.
void init_curl_once()
{
    static std::once_flag flag;
    std::call_once(flag, [] { curl_global_init(CURL_GLOBAL_ALL); });
}

/// Bounds the time for unacknowledged data, so that a dead connection is detected.
int set_socket_options(void*, curl_socket_t socket, curlsocktype)
{
    ::setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &tcp_user_timeout_ms, sizeof tcp_user_timeout_ms);
    return CURL_SOCKOPT_OK;
}

struct transfer {
    http_client::call_id id = 0;
    http_call call;
    http_client::on_data data;
    http_client::on_done done;
    CURL* easy = nullptr;
    curl_slist* headers = nullptr;
    http_result result;
    std::size_t header_bytes = 0;
    response_head_check head_check;
    bool has_final_head = false;
};

constexpr std::size_t max_header_bytes = 65536;
/// Return value of a callback that makes libcurl fail the transfer.
constexpr std::size_t abort_transfer = 0;

int status_of(const transfer& one)
{
    long status = 0;
    curl_easy_getinfo(one.easy, CURLINFO_RESPONSE_CODE, &status);
    return static_cast<int>(status);
}

std::size_t receive_body(char* bytes, std::size_t size, std::size_t count, void* user)
{
    auto& one = *static_cast<transfer*>(user);
    const std::string_view chunk{bytes, size * count};
    if (one.data) {
        one.data(chunk);
    }
    else if (one.result.body.size() + chunk.size() > max_buffered_body) {
        return abort_transfer;
    }
    else {
        one.result.body.append(chunk);
    }
    return chunk.size();
}

std::size_t receive_header(char* bytes, std::size_t size, std::size_t count, void* user)
{
    auto& one = *static_cast<transfer*>(user);
    const std::string_view line{bytes, size * count};
    one.header_bytes += line.size();
    const auto status = status_of(one);
    // Lines after the final head are trailers.
    const bool is_valid = is_valid_status(status) && (one.has_final_head || one.head_check.accept(line));
    if (one.header_bytes > max_header_bytes || !is_valid) {
        return abort_transfer;
    }
    one.has_final_head = one.has_final_head || (one.head_check.has_ended() && !is_interim_status(status));
    const auto colon = line.find(": ");
    if (colon != std::string_view::npos) {
        auto value = line.substr(colon + 2);
        value.remove_suffix(std::min<std::size_t>(2, value.size()));
        one.result.headers.push_back({std::string{line.substr(0, colon)}, std::string{value}});
    }
    return line.size();
}

void configure(transfer& one)
{
    one.easy = curl_easy_init();
    const auto& call = one.call;
    curl_easy_setopt(one.easy, CURLOPT_URL, call.url.c_str());
    curl_easy_setopt(one.easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    if (!call.body.empty() || call.method == "POST" || call.method == "PUT") {
        curl_easy_setopt(one.easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(call.body.size()));
        curl_easy_setopt(one.easy, CURLOPT_POSTFIELDS, call.body.c_str());
    }
    for (const auto& field : call.headers) {
        one.headers = curl_slist_append(one.headers, (field.name + ": " + field.value).c_str());
    }
    // Otherwise libcurl waits for "100 Continue" before it sends larger bodies.
    one.headers = curl_slist_append(one.headers, "Expect:");
    curl_easy_setopt(one.easy, CURLOPT_HTTPHEADER, one.headers);
    curl_easy_setopt(one.easy, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(call.connect_timeout.count()));
    curl_easy_setopt(one.easy, CURLOPT_TIMEOUT_MS, static_cast<long>(call.total_timeout.count()));
    curl_easy_setopt(one.easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(one.easy, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(one.easy, CURLOPT_FOLLOWLOCATION, 0L);
    curl_easy_setopt(one.easy, CURLOPT_MAXAGE_CONN, max_idle_connection_age_s);
    curl_easy_setopt(one.easy, CURLOPT_SOCKOPTFUNCTION, set_socket_options);
    curl_easy_setopt(one.easy, CURLOPT_WRITEFUNCTION, receive_body);
    curl_easy_setopt(one.easy, CURLOPT_WRITEDATA, &one);
    curl_easy_setopt(one.easy, CURLOPT_HEADERFUNCTION, receive_header);
    curl_easy_setopt(one.easy, CURLOPT_HEADERDATA, &one);
    curl_easy_setopt(one.easy, CURLOPT_PRIVATE, &one);
    if (call.fresh_connection) {
        curl_easy_setopt(one.easy, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(one.easy, CURLOPT_FORBID_REUSE, 1L);
    }
}

void set_outcome(transfer& one, CURLcode code)
{
    long sent = 0;
    curl_easy_getinfo(one.easy, CURLINFO_REQUEST_SIZE, &sent);
    one.result.status = status_of(one);
    // libcurl reports success for a head that is cut off by a line which begins with a zero byte.
    if (code == CURLE_OK && one.has_final_head) {
        one.result.outcome = http_outcome::answered;
        return;
    }
    one.result.outcome = sent > 0 ? http_outcome::lost : http_outcome::not_sent;
    one.result.refused = code == CURLE_COULDNT_CONNECT;
    one.result.message = code == CURLE_OK ? "incomplete response head" : curl_easy_strerror(code);
}

} // namespace

struct http_client::state {
    CURLM* multi = nullptr;
    std::thread thread;
    std::mutex mutex; ///< Guards the members below, up to `running`.
    std::vector<std::unique_ptr<transfer>> incoming;
    std::vector<call_id> cancelled;
    call_id last_id = 0;
    bool stopping = false;
    std::map<call_id, std::unique_ptr<transfer>> running; ///< Used by the client's thread only.

    void run();
    bool process_requests();
    void finish(call_id id);
    void collect_finished();
};

bool http_client::state::process_requests()
{
    std::vector<std::unique_ptr<transfer>> started;
    std::vector<call_id> to_cancel;
    bool stop = false;
    {
        const std::scoped_lock lock{this->mutex};
        started.swap(this->incoming);
        to_cancel.swap(this->cancelled);
        stop = this->stopping;
    }
    for (auto& one : started) {
        configure(*one);
        curl_multi_add_handle(this->multi, one->easy);
        const auto id = one->id;
        this->running.emplace(id, std::move(one));
    }
    if (stop) {
        for (const auto& [id, one] : this->running) {
            to_cancel.push_back(id);
        }
    }
    for (const auto id : to_cancel) {
        if (const auto found = this->running.find(id); found != this->running.end()) {
            found->second->result.outcome = http_outcome::cancelled;
            this->finish(id);
        }
    }
    return !stop;
}

void http_client::state::finish(call_id id)
{
    auto node = this->running.extract(id);
    auto& one = *node.mapped();
    curl_multi_remove_handle(this->multi, one.easy);
    curl_easy_cleanup(one.easy);
    curl_slist_free_all(one.headers);
    one.done(std::move(one.result));
}

void http_client::state::collect_finished()
{
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(this->multi, &left)) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        transfer* one = nullptr;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &one);
        set_outcome(*one, message->data.result);
        this->finish(one->id);
    }
}

void http_client::state::run()
{
    while (this->process_requests()) {
        int active = 0;
        curl_multi_perform(this->multi, &active);
        this->collect_finished();
        curl_multi_poll(this->multi, nullptr, 0, poll_timeout_ms, nullptr);
    }
}

http_client::http_client() : self{std::make_unique<state>()}
{
    init_curl_once();
    this->self->multi = curl_multi_init();
    this->self->thread = std::thread{[this] { this->self->run(); }};
}

http_client::~http_client()
{
    {
        const std::scoped_lock lock{this->self->mutex};
        this->self->stopping = true;
    }
    curl_multi_wakeup(this->self->multi);
    this->self->thread.join();
    curl_multi_cleanup(this->self->multi);
}

http_client::call_id http_client::start(http_call call, on_data data, on_done done)
{
    auto one = std::make_unique<transfer>();
    one->call = std::move(call);
    one->data = std::move(data);
    one->done = std::move(done);
    call_id id = 0;
    {
        const std::scoped_lock lock{this->self->mutex};
        id = ++this->self->last_id;
        one->id = id;
        this->self->incoming.push_back(std::move(one));
    }
    curl_multi_wakeup(this->self->multi);
    return id;
}

void http_client::cancel(call_id id)
{
    {
        const std::scoped_lock lock{this->self->mutex};
        this->self->cancelled.push_back(id);
    }
    curl_multi_wakeup(this->self->multi);
}

http_result http_client::perform(http_call call)
{
    auto promise = std::make_shared<std::promise<http_result>>();
    auto future = promise->get_future();
    this->start(std::move(call), {}, [promise](http_result end) { promise->set_value(std::move(end)); });
    return future.get();
}

} // namespace coriander

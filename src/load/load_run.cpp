#include "load/load_run.hpp"

#include "core/json_text.hpp"
#include "coriander/random_source.hpp"
#include "expected_answer.hpp"

#include <algorithm>
#include <thread>

namespace coriander {
namespace {

constexpr time_ms request_timeout = 120_s;
constexpr int max_plain_attempts = 4;
constexpr auto final_wait_timeout = std::chrono::seconds{150};
constexpr auto retry_delay = std::chrono::milliseconds{300};

double ms_between(std::chrono::steady_clock::time_point from, std::chrono::steady_clock::time_point to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

std::string run_of_error(const std::string& body)
{
    const auto object = parse_object(body);
    const auto inner = object ? object_member(*object, "error") : std::nullopt;
    return inner ? text_member(*inner, "run") : std::string{};
}

load_outcome outcome_of_error(const std::string& run)
{
    if (run == "not_run") {
        return load_outcome::refused;
    }
    return run == "unknown" ? load_outcome::unknown : load_outcome::failed;
}

} // namespace

load_run::load_run(load_plan plan) : plan{std::move(plan)}, random{this->plan.seed} {}

double load_run::draw()
{
    return std::uniform_real_distribution<double>{0.0, 1.0}(this->random);
}

/// Fetches the list of entry hosts from any entry host and caches it for its TTL.
bool load_run::refresh_entry_hosts()
{
    if (!this->hosts.empty() && this->clock.now() < this->hosts_valid_until) {
        return true;
    }
    auto candidates = this->hosts;
    candidates.insert(candidates.end(), this->plan.entry_hosts.begin(), this->plan.entry_hosts.end());
    for (const auto& address : candidates) {
        http_call call;
        call.url = "http://" + address + "/v1/entry-hosts";
        const auto response = this->client.perform(std::move(call));
        const auto object = response.ok() ? parse_object(response.body) : std::nullopt;
        if (!object) {
            continue;
        }
        this->hosts.clear();
        for (const auto& host : array_member(*object, "entry_hosts")) {
            this->hosts.push_back(text_member(host, "address"));
        }
        this->hosts_valid_until = this->clock.now() + time_ms{integer_member(*object, "ttl_ms")};
        return !this->hosts.empty();
    }
    return false;
}

std::string load_run::choose_entry_host()
{
    return this->hosts[draw_index(this->random, this->hosts.size())];
}

const load_customer& load_run::choose_customer()
{
    double total = 0.0;
    for (const auto& customer : this->plan.customers) {
        total += customer.share;
    }
    double remaining = this->draw() * total;
    for (const auto& customer : this->plan.customers) {
        remaining -= customer.share;
        if (remaining < 0.0) {
            return customer;
        }
    }
    return this->plan.customers.back();
}

std::string load_run::make_prompt()
{
    ++this->prompt_number;
    const bool is_shared = this->draw() < this->plan.shared_prefix_share;
    const auto unique = std::to_string(this->plan.seed) + "-" + std::to_string(this->prompt_number);
    const std::string shared_prefix =
        "You answer for the repair desk. Keep to the manual and name each part by number. ";
    return is_shared ? shared_prefix + "Question " + unique : "Question " + unique + ": the wheel wobbles.";
}

result<load_results> load_run::run()
{
    if (!this->refresh_entry_hosts()) {
        return fail(error_kind::unavailable, "no entry host answers");
    }
    const auto start = std::chrono::steady_clock::now();
    std::exponential_distribution<double> interarrival_s{this->plan.requests_per_second};
    double send_offset_s = 0.0;
    while (send_offset_s < this->plan.seconds) {
        std::this_thread::sleep_until(start + std::chrono::duration_cast<std::chrono::steady_clock::duration>(
                                                  std::chrono::duration<double>{send_offset_s}));
        this->refresh_entry_hosts();
        this->send_one();
        send_offset_s += interarrival_s(this->random);
    }
    std::unique_lock lock{this->mutex};
    this->request_ended.wait_for(lock, final_wait_timeout, [this] { return this->in_flight == 0; });
    for (; this->in_flight > 0; --this->in_flight) {
        this->report.count(load_outcome::lost, "");
    }
    return this->report.results(ms_between(start, std::chrono::steady_clock::now()) / 1000.0);
}

void load_run::send_one()
{
    {
        const std::scoped_lock lock{this->mutex};
        ++this->in_flight;
    }
    const bool is_plain = !this->plan.plain_service.empty() && this->draw() < this->plan.plain_share;
    if (is_plain || this->plan.service.empty()) {
        this->send_plain();
    }
    else {
        this->send_completion();
    }
}

void load_run::count(load_outcome outcome, const std::string& customer)
{
    const std::scoped_lock lock{this->mutex};
    this->report.count(outcome, customer);
    --this->in_flight;
    this->request_ended.notify_all();
}

void load_run::send_completion()
{
    const auto& customer = this->choose_customer();
    auto request = std::make_shared<completion>();
    request->customer = customer.name;
    request->prompt = this->make_prompt();
    request->sent_at = std::chrono::steady_clock::now();
    http_call call;
    call.method = "POST";
    call.url = "http://" + this->choose_entry_host() + "/v1/completions";
    call.total_timeout = request_timeout;
    call.headers = {{"Authorization", "Bearer " + customer.api_key}, {"Content-Type", "application/json"}};
    call.body = to_text({{"model", this->plan.service},
                         {"prompt", request->prompt},
                         {"max_tokens", this->plan.max_tokens},
                         {"stream", true}});
    this->client.start(
        std::move(call), [this, request](std::string_view chunk) { this->on_data(*request, chunk); },
        [this, request](const http_result& response) { this->on_done(*request, response); });
}

void load_run::on_data(completion& request, std::string_view chunk)
{
    request.buffer += chunk;
    std::size_t begin = 0;
    for (auto end = request.buffer.find('\n'); end != std::string::npos;
         end = request.buffer.find('\n', begin)) {
        this->on_line(request, std::string_view{request.buffer}.substr(begin, end - begin));
        begin = end + 1;
    }
    request.buffer.erase(0, begin);
}

void load_run::on_line(completion& request, std::string_view line)
{
    constexpr std::string_view prefix = "data: ";
    if (!line.starts_with(prefix)) {
        return;
    }
    const auto data = line.substr(prefix.size());
    if (data == "[DONE]") {
        request.done = true;
        return;
    }
    const auto object = parse_object(data);
    if (!object) {
        return;
    }
    if (object->contains("error")) {
        request.error_run = run_of_error(std::string{data});
        return;
    }
    for (const auto& choice : array_member(*object, "choices")) {
        const auto text = text_member(choice, "text");
        if (text.empty()) {
            continue;
        }
        const auto now = std::chrono::steady_clock::now();
        const std::scoped_lock lock{this->mutex};
        if (request.tokens == 0) {
            this->report.first_token(ms_between(request.sent_at, now));
        }
        else {
            this->report.between_tokens(ms_between(request.last_token, now));
        }
        request.last_token = now;
        ++request.tokens;
        request.text += text;
    }
}

load_outcome load_run::classify(const completion& request, const http_result& response) const
{
    constexpr int success = 200;
    const auto expected = expected_answer(request.prompt, this->plan.max_tokens);
    if (!expected.starts_with(request.text)) {
        return load_outcome::mixed_up;
    }
    if (!request.error_run.empty()) {
        return outcome_of_error(request.error_run);
    }
    if (response.outcome != http_outcome::answered) {
        return request.tokens > 0 ? load_outcome::cut : load_outcome::lost;
    }
    if (response.status != success) {
        return outcome_of_error(run_of_error(request.buffer));
    }
    return request.done && request.text == expected ? load_outcome::whole : load_outcome::cut;
}

void load_run::on_done(completion& request, const http_result& response)
{
    this->count(this->classify(request, response), request.customer);
}

void load_run::send_plain()
{
    const auto& customer = this->choose_customer();
    if (this->draw() < this->plan.non_repeatable_share) {
        this->send_plain_call(customer, draw_token(this->random), 1);
        return;
    }
    http_call call;
    call.url = "http://" + this->choose_entry_host() + "/v1/services/" + this->plan.plain_service +
               "/stock?part=" + std::to_string(++this->prompt_number);
    call.total_timeout = request_timeout;
    call.headers = {{"Authorization", "Bearer " + customer.api_key}};
    this->client.start(std::move(call), {}, [this, &customer](const http_result& response) {
        const bool is_answer = response.outcome == http_outcome::answered;
        const auto error_outcome =
            is_answer ? outcome_of_error(run_of_error(response.body)) : load_outcome::lost;
        this->count(response.ok() ? load_outcome::whole : error_outcome, customer.name);
    });
}

/// Sends a booking that must be executed at most once. After an error other than `refused`, it is retried
/// with the same idempotency key through the next entry host.
void load_run::send_plain_call(const load_customer& customer, const std::string& key, int attempt)
{
    http_call call;
    call.method = "POST";
    call.url = "http://" + this->hosts[static_cast<std::size_t>(attempt) % this->hosts.size()] +
               "/v1/services/" + this->plan.plain_service + "/book";
    call.total_timeout = request_timeout;
    call.headers = {{"Authorization", "Bearer " + customer.api_key},
                    {"Content-Type", "application/json"},
                    {"Idempotency-Key", key}};
    call.body = to_text({{"reference", key}});
    this->client.start(std::move(call), {}, [this, &customer, key, attempt](const http_result& response) {
        this->on_plain_done(customer, key, attempt, response);
    });
}

void load_run::on_plain_done(const load_customer& customer, const std::string& key, int attempt,
                             const http_result& response)
{
    if (response.ok()) {
        const auto object = parse_object(response.body);
        const bool is_own_booking = object && text_member(*object, "booked") == key;
        this->count(is_own_booking ? load_outcome::whole : load_outcome::mixed_up, customer.name);
        return;
    }
    const auto outcome = response.outcome == http_outcome::answered
                             ? outcome_of_error(run_of_error(response.body))
                             : load_outcome::lost;
    if (attempt < max_plain_attempts && outcome != load_outcome::refused) {
        // The callback must not block.
        std::thread{[this, &customer, key, attempt] {
            std::this_thread::sleep_for(retry_delay);
            this->send_plain_call(customer, key, attempt + 1);
        }}.detach();
        return;
    }
    this->count(outcome, customer.name);
}

} // namespace coriander

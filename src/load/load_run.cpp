#include "load/load_run.hpp"

#include "core/json_text.hpp"
#include "coriander/random_source.hpp"
#include "expected_answer.hpp"

#include <algorithm>
#include <thread>

namespace coriander {
namespace {

constexpr time_ms request_limit = 120_s;
constexpr int most_plain_attempts = 4;
constexpr auto end_limit = std::chrono::seconds{150};
constexpr auto repeat_pause = std::chrono::milliseconds{300};

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

/// Asks any entry host which ones to use, and keeps the answer for as long as it says.
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
        const auto end = this->client.perform(std::move(call));
        const auto object = end.ok() ? parse_object(end.body) : std::nullopt;
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
    for (const auto& one : this->plan.customers) {
        total += one.share;
    }
    double left = this->draw() * total;
    for (const auto& one : this->plan.customers) {
        left -= one.share;
        if (left < 0.0) {
            return one;
        }
    }
    return this->plan.customers.back();
}

std::string load_run::make_prompt()
{
    ++this->prompt_number;
    const bool is_shared = this->draw() < this->plan.shared_prefix_share;
    const auto unique = std::to_string(this->plan.seed) + "-" + std::to_string(this->prompt_number);
    const std::string opening =
        "You answer for the repair desk. Keep to the manual and name each part by number. ";
    return is_shared ? opening + "Question " + unique : "Question " + unique + ": the wheel wobbles.";
}

result<load_figures> load_run::run()
{
    if (!this->refresh_entry_hosts()) {
        return fail(error_kind::unavailable, "no entry host answers");
    }
    const auto start = std::chrono::steady_clock::now();
    std::exponential_distribution<double> gap{this->plan.requests_per_second};
    double due = 0.0;
    while (due < this->plan.seconds) {
        std::this_thread::sleep_until(start + std::chrono::duration_cast<std::chrono::steady_clock::duration>(
                                                  std::chrono::duration<double>{due}));
        this->refresh_entry_hosts();
        this->send_one();
        due += gap(this->random);
    }
    std::unique_lock lock{this->mutex};
    this->one_ended.wait_for(lock, end_limit, [this] { return this->open == 0; });
    for (; this->open > 0; --this->open) {
        this->report.count(load_outcome::lost, "");
    }
    return this->report.figures(ms_between(start, std::chrono::steady_clock::now()) / 1000.0);
}

void load_run::send_one()
{
    {
        const std::scoped_lock lock{this->mutex};
        ++this->open;
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
    --this->open;
    this->one_ended.notify_all();
}

void load_run::send_completion()
{
    const auto& customer = this->choose_customer();
    auto one = std::make_shared<completion>();
    one->customer = customer.name;
    one->prompt = this->make_prompt();
    one->sent_at = std::chrono::steady_clock::now();
    http_call call;
    call.method = "POST";
    call.url = "http://" + this->choose_entry_host() + "/v1/completions";
    call.total_timeout = request_limit;
    call.headers = {{"Authorization", "Bearer " + customer.api_key}, {"Content-Type", "application/json"}};
    call.body = to_text({{"model", this->plan.service},
                         {"prompt", one->prompt},
                         {"max_tokens", this->plan.max_tokens},
                         {"stream", true}});
    this->client.start(
        std::move(call), [this, one](std::string_view chunk) { this->on_data(*one, chunk); },
        [this, one](const http_result& end) { this->on_done(*one, end); });
}

void load_run::on_data(completion& one, std::string_view chunk)
{
    one.buffer += chunk;
    std::size_t begin = 0;
    for (auto end = one.buffer.find('\n'); end != std::string::npos; end = one.buffer.find('\n', begin)) {
        this->on_line(one, std::string_view{one.buffer}.substr(begin, end - begin));
        begin = end + 1;
    }
    one.buffer.erase(0, begin);
}

void load_run::on_line(completion& one, std::string_view line)
{
    constexpr std::string_view mark = "data: ";
    if (!line.starts_with(mark)) {
        return;
    }
    const auto data = line.substr(mark.size());
    if (data == "[DONE]") {
        one.done = true;
        return;
    }
    const auto object = parse_object(data);
    if (!object) {
        return;
    }
    if (object->contains("error")) {
        one.problem = run_of_error(std::string{data});
        return;
    }
    for (const auto& choice : array_member(*object, "choices")) {
        const auto text = text_member(choice, "text");
        if (text.empty()) {
            continue;
        }
        const auto now = std::chrono::steady_clock::now();
        const std::scoped_lock lock{this->mutex};
        if (one.tokens == 0) {
            this->report.first_token(ms_between(one.sent_at, now));
        }
        else {
            this->report.between_tokens(ms_between(one.last_token, now));
        }
        one.last_token = now;
        ++one.tokens;
        one.text += text;
    }
}

load_outcome load_run::judge(const completion& one, const http_result& end) const
{
    constexpr int success = 200;
    const auto right = expected_answer(one.prompt, this->plan.max_tokens);
    if (!right.starts_with(one.text)) {
        return load_outcome::mixed_up;
    }
    if (!one.problem.empty()) {
        return outcome_of_error(one.problem);
    }
    if (end.outcome != http_outcome::answered) {
        return one.tokens > 0 ? load_outcome::cut : load_outcome::lost;
    }
    if (end.status != success) {
        return outcome_of_error(run_of_error(one.buffer));
    }
    return one.done && one.text == right ? load_outcome::whole : load_outcome::cut;
}

void load_run::on_done(completion& one, const http_result& end)
{
    this->count(this->judge(one, end), one.customer);
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
    call.total_timeout = request_limit;
    call.headers = {{"Authorization", "Bearer " + customer.api_key}};
    this->client.start(std::move(call), {}, [this, &customer](const http_result& end) {
        const bool is_answer = end.outcome == http_outcome::answered;
        const auto bad = is_answer ? outcome_of_error(run_of_error(end.body)) : load_outcome::lost;
        this->count(end.ok() ? load_outcome::whole : bad, customer.name);
    });
}

/// Books once; while the answer does not say how it ended, the same key is sent again through any entry host.
void load_run::send_plain_call(const load_customer& customer, const std::string& key, int attempt)
{
    http_call call;
    call.method = "POST";
    call.url = "http://" + this->hosts[static_cast<std::size_t>(attempt) % this->hosts.size()] +
               "/v1/services/" + this->plan.plain_service + "/book";
    call.total_timeout = request_limit;
    call.headers = {{"Authorization", "Bearer " + customer.api_key},
                    {"Content-Type", "application/json"},
                    {"Idempotency-Key", key}};
    call.body = to_text({{"reference", key}});
    this->client.start(std::move(call), {}, [this, &customer, key, attempt](const http_result& end) {
        this->on_plain_done(customer, key, attempt, end);
    });
}

void load_run::on_plain_done(const load_customer& customer, const std::string& key, int attempt,
                             const http_result& end)
{
    if (end.ok()) {
        const auto object = parse_object(end.body);
        const bool is_own = object && text_member(*object, "booked") == key;
        this->count(is_own ? load_outcome::whole : load_outcome::mixed_up, customer.name);
        return;
    }
    const auto outcome =
        end.outcome == http_outcome::answered ? outcome_of_error(run_of_error(end.body)) : load_outcome::lost;
    if (attempt < most_plain_attempts && outcome != load_outcome::refused) {
        // The callback must not wait.
        std::thread{[this, &customer, key, attempt] {
            std::this_thread::sleep_for(repeat_pause);
            this->send_plain_call(customer, key, attempt + 1);
        }}.detach();
        return;
    }
    this->count(outcome, customer.name);
}

} // namespace coriander

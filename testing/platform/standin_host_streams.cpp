#include "platform/standin_host.hpp"

#include <algorithm>
#include <chrono>

namespace coriander::standin {
namespace {

constexpr int ok_status = 200;
constexpr int misdirected_status = 421;
constexpr int unavailable_status = 503;

/// Refuses a request because of the host `at_fault`.
void refuse(caller_connection& caller, std::vector<http_header> headers, const std::string& at_fault)
{
    headers.push_back({"Not-Executed", "1"});
    headers.push_back({"At-Server", at_fault});
    caller.send(unavailable_status, headers, {});
}

std::string encode_event(unsigned number)
{
    return "id: " + std::to_string(number) + "\ndata: piece " + std::to_string(number) + "\n\n";
}

} // namespace

std::vector<std::string> standin_host::missing_members() const
{
    std::vector<std::string> missing;
    for (const auto& member : this->membership->members) {
        const auto found = this->fleet.hosts.find(member);
        if (found == this->fleet.hosts.end() || found->second->is_unresponsive ||
            !found->second->is_member(this->membership->replica, this->membership->generation)) {
            missing.push_back(member);
        }
    }
    return missing;
}

/// Cuts the replica's streams, which do not go on in the host's next replica.
void standin_host::end_membership()
{
    this->membership.reset();
    for (const auto& ended : std::exchange(this->streams, {})) {
        if (const auto caller = ended.caller.lock()) {
            caller->abort();
        }
    }
}

void standin_host::record_membership() const
{
    const auto now_in = this->membership.value_or(replica_membership{});
    this->fleet.record({{"at", wall_clock_now().count()},
                        {"host", this->id},
                        {"replica", now_in.replica},
                        {"model", now_in.model},
                        {"members", now_in.members}});
}

void standin_host::serve_request(const std::shared_ptr<caller_connection>& caller,
                                 const incoming_request& request)
{
    this->fleet.marks_received +=
        std::any_of(request.head.headers.begin(), request.head.headers.end(), [](const http_header& header) {
            return equal_ignoring_case(header.name, "Coriander-Relayed");
        });
    const std::string attempt{request.head.header("Attempt-Id")};
    std::vector<http_header> headers{{"Attempt-Id", attempt}, {"Server-Stamp", this->id}};
    if (this->rate_limit > 0.0) {
        headers.push_back({"Server-Limit", std::to_string(this->rate_limit)});
    }
    this->count_arrival();
    const auto pause = this->own_statements.on_request(this->fleet.now());
    if (this->own_statements.is_leaving()) {
        headers.push_back({"Server-Leaving", "1"});
    }
    if (pause > time_ms{}) {
        headers.push_back({"Not-Executed", "1"});
        headers.push_back({"Retry-After", std::to_string(pause.seconds())});
        caller->send(unavailable_status, headers, {});
        return;
    }
    if (this->domain.empty()) {
        ++this->fleet.run_counts[attempt];
        caller->send(ok_status, headers, "done " + attempt);
        return;
    }
    if (this->membership && this->membership->state == "broken") {
        const auto missing = this->missing_members();
        refuse(*caller, headers, missing.empty() ? this->id : missing.front());
        return;
    }
    if (!this->leads_open_replica()) {
        caller->send(misdirected_status, {{"Replica-Id", this->id}}, {});
        return;
    }
    const auto parts = request.head.header("Prefix-Hash");
    const bool is_crashing = !this->fleet.crashing_part.empty() &&
                             parts.find(this->fleet.crashing_part + ':') != std::string_view::npos;
    if (is_crashing) {
        ++this->fleet.crashing_arrivals;
        this->run_after(this->fleet.settings.crash_delay, [this] { this->die(); });
    }
    const auto last = request.head.header("Last-Event-Id");
    const auto next_event = last.empty() ? 1U : static_cast<unsigned>(std::stoul(std::string{last})) + 1;
    this->streams.push_back({caller, attempt, headers, next_event});
    if (this->missing_members().empty()) {
        this->begin(this->streams.back());
    }
    if (this->streams.size() == 1) {
        this->send_events();
    }
}

void standin_host::begin(stream& started)
{
    started.has_begun = true;
    ++this->fleet.run_counts[started.attempt];
    if (const auto caller = started.caller.lock()) {
        caller->begin_stream(ok_status, started.headers);
    }
}

void standin_host::send_events()
{
    this->event_timer.expires_after(std::chrono::milliseconds{this->fleet.settings.event_interval.count()});
    this->event_timer.async_wait([this](const asio::error_code& cancelled) {
        if (cancelled || this->streams.empty()) {
            return;
        }
        if (!this->is_unresponsive) {
            if (this->missing_members().empty()) {
                this->advance_streams();
            }
            else {
                this->note_stall();
            }
        }
        if (!this->streams.empty()) {
            this->send_events();
        }
        else if (this->membership) {
            this->membership->missing_since.clear();
        }
    });
}

void standin_host::advance_streams()
{
    this->membership->missing_since.clear();
    const auto events = this->fleet.settings.events_per_answer;
    for (auto& active : this->streams) {
        const auto caller = active.caller.lock();
        if (!caller || active.next_event > events) {
            continue;
        }
        if (!active.has_begun) {
            this->begin(active);
        }
        caller->append(encode_event(active.next_event++));
        if (active.next_event > events) {
            caller->finish_stream();
        }
    }
    std::erase_if(this->streams, [events](const stream& active) {
        return active.caller.expired() || active.next_event > events;
    });
}

/// A replica that misses one of its hosts for too long is broken: what has begun is cut, the rest is
/// refused.
void standin_host::note_stall()
{
    std::erase_if(this->streams, [](const stream& active) { return active.caller.expired(); });
    const auto now = this->fleet.now();
    const auto missing = this->missing_members();
    auto& missing_since = this->membership->missing_since;
    std::erase_if(missing_since, [&](const auto& known) {
        return std::find(missing.begin(), missing.end(), known.first) == missing.end();
    });
    for (const auto& member : missing) {
        missing_since.emplace(member, now);
    }
    const auto lost = std::find_if(missing_since.begin(), missing_since.end(), [&](const auto& known) {
        return now - known.second > this->fleet.settings.stall_timeout;
    });
    if (lost == missing_since.end()) {
        return;
    }
    this->membership->state = "broken";
    for (const auto& ended : std::exchange(this->streams, {})) {
        const auto caller = ended.caller.lock();
        if (caller && ended.has_begun) {
            caller->abort();
        }
        else if (caller) {
            refuse(*caller, ended.headers, lost->first);
        }
    }
    this->write_entry();
}

} // namespace coriander::standin

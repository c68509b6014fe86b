#include "platform/standin_host.hpp"
#include "platform/standin_store.hpp"

#include "coriander/replicas/domain_record.hpp"
#include "runtime/command_line.hpp"

#include <asio/io_context.hpp>
#include <gflags/gflags.h>

#include <csignal>
#include <fstream>
#include <iostream>

DEFINE_int32(domains, 2, "number of fabric domains of the engine service");
DEFINE_int32(hosts, 7, "number of hosts in each domain");
DEFINE_int32(plain_hosts, 2, "number of hosts of the plain service");
DEFINE_string(faults, "", "file to which a line for each silence that has ended is appended; empty for none");
DEFINE_string(
    joins, "",
    "file to which a line for each host that joins or leaves a replica is appended; empty for none");

namespace {

using namespace coriander;
using namespace coriander::standin;

/// A manifest with streams to two models, and routes to a plain service; `added_prefix` may be empty.
json_object make_manifest(std::uint64_t version, const std::string& added_prefix = {})
{
    const auto route = [](const char* prefix, const char* service, const char* kind, bool resumable) {
        return json_object{{"name", std::string{"to"} + prefix},
                           {"hostname", "desk.example"},
                           {"path_prefix", prefix},
                           {"kind", kind},
                           {"resumable", resumable},
                           {"service", service},
                           {"max_attempts", 3},
                           {"timeout_ms", 8000},
                           {"target_latency_ms", 500},
                           {"no_auth", false}};
    };
    const auto model = [](const char* name, int size) {
        return json_object{{"name", name}, {"size", size},  {"share", 0.5},
                           {"pace", 1.0},  {"load_s", 0.4}, {"warm_s", 0.15}};
    };
    json_object manifest{
        {"version", version},
        {"routes",
         {route("/chat/", "assistant", "streaming", true), route("/book/", "desk", "non_idempotent", false),
          route("/look/", "desk", "idempotent", false)}},
        {"services",
         {{{"name", "assistant"},
           {"engine",
            {{"slots", 26},
             {"step_ms", 3.0},
             {"read_per_s", 50000.0},
             {"stride", 1},
             {"form_ms", 60.0},
             {"loads_per_s", 20.0},
             {"usual", {{"prompt", 100}, {"answer", 12}}},
             {"models", {model("large", 4), model("small", 3)}}}}},
          {{"name", "desk"}}}},
        {"tenants", {{{"name", "gent"}, {"api_keys", {"gent-key"}}}}}};
    if (!added_prefix.empty()) {
        manifest["routes"].push_back(route(added_prefix.c_str(), "desk", "idempotent", false));
    }
    return manifest;
}

/// The stand-in's store and hosts, and the HTTP pages with which a test injects faults and reads the status.
class standin_fleet {
public:
    explicit standin_fleet(asio::io_context& loop) : loop{loop}, store{loop}
    {
        this->store.put("op", "config", to_text(make_manifest(1)));
        if (!FLAGS_faults.empty()) {
            this->faults.open(FLAGS_faults, std::ios::app);
        }
        if (!FLAGS_joins.empty()) {
            this->joins.open(FLAGS_joins, std::ios::app);
            this->fleet.record = [this](const json_object& join) {
                this->joins << to_text(join) << std::endl;
            };
        }
        for (int d = 0; d < FLAGS_domains; ++d) {
            for (int i = 0; i < FLAGS_hosts; ++i) {
                this->add_host("assistant", "d" + std::to_string(d),
                               "h" + std::to_string(d) + "-" + std::to_string(i));
            }
        }
        for (int i = 0; i < FLAGS_plain_hosts; ++i) {
            this->add_host("desk", "", "p" + std::to_string(i));
        }
        this->store_listener = this->listen([this](const auto& caller, const incoming_request& request) {
            this->store.serve(caller, request);
        });
        this->control_listener = this->listen([this](const auto& caller, const incoming_request& request) {
            this->handle_command(*caller, request);
        });
        std::cout << "listening store 127.0.0.1:" << this->store_listener->port() << "\n"
                  << "listening control 127.0.0.1:" << this->control_listener->port() << std::endl;
    }

private:
    template <typename Handler>
    std::shared_ptr<http_listener> listen(Handler handler)
    {
        connection_handlers handlers{handler, [] { return connection_limits{}; }, [] { return false; }};
        auto listener = std::make_shared<http_listener>(
            this->loop, asio::ip::tcp::endpoint{asio::ip::make_address("127.0.0.1"), 0}, std::move(handlers));
        listener->start();
        return listener;
    }

    void add_host(const std::string& service, const std::string& domain, const std::string& id)
    {
        this->hosts.push_back(std::make_unique<standin_host>(
            this->loop, this->fleet, id, service, domain,
            [this](const std::string& name, const std::optional<std::string>& entry) {
                this->store.put("servers", name, entry);
            }));
    }

    /// `POST /fault` with `{"host":ID,"do":"dark"|"restart"|"drain"|"pause"|"wake"|"leave"}`,
    /// where "leave" is stated in responses only,
    /// `{"host":ID,"silent_ms":LENGTH}`, which is logged when the host answers again,
    /// `{"store":"sound"|"busy"|"silent"}`, `{"lose_answers":N}`, `{"forget_history":true}`,
    /// `{"manifest":VERSION,"route":ADDED_PREFIX}`, `{"restore_ms":AGE_OF_THE_COPY}`, `{"crashing_part":ID}`,
    /// `{"limit":PER_SECOND,"domains":PREFIXES}`, which sets the rate limit of the hosts whose ids begin
    /// with one of the prefixes, or `{"pause":SECONDS,"times":N,"domains":PREFIXES}`, which makes them turn
    /// requests away; `GET /status`.
    void handle_command(caller_connection& caller, const incoming_request& request)
    {
        if (request.head.target == "/status") {
            caller.send(200, {}, to_text(this->status()));
            return;
        }
        const auto command = parse_object(request.body).value_or(json_object::object());
        const auto host = this->fleet.hosts.find(text_member(command, "host"));
        const time_ms silence{integer_member(command, "silent_ms")};
        if (host != this->fleet.hosts.end() && silence > time_ms{}) {
            this->silence(*host->second, silence);
        }
        else if (host != this->fleet.hosts.end()) {
            const auto action = text_member(command, "do");
            action == "dark"      ? host->second->crash()
            : action == "restart" ? host->second->restart()
            : action == "pause"   ? host->second->pause()
            : action == "wake"    ? host->second->resume()
            : action == "leave"   ? host->second->statements().leave()
                                  : host->second->drain();
        }
        const auto mode = text_member(command, "store");
        if (!mode.empty()) {
            this->store.set_mode(mode == "busy"     ? store_mode::busy
                                 : mode == "silent" ? store_mode::silent
                                                    : store_mode::sound);
        }
        this->store.drop_responses(static_cast<unsigned>(integer_member(command, "lose_answers")));
        if (bool_member(command, "forget_history")) {
            this->store.drop_history();
        }
        if (const auto age = integer_member(command, "restore_ms"); age > 0) {
            this->store.restore_copy(time_ms{age});
        }
        if (command.contains("limit")) {
            this->set_rate_limit(command["limit"].get<double>(),
                                 command.value("domains", std::vector<std::string>{}));
        }
        if (command.contains("pause")) {
            const time_ms length{static_cast<std::int64_t>(command["pause"].get<double>() * 1000.0)};
            const auto times = static_cast<unsigned>(integer_member(command, "times"));
            this->for_hosts(command.value("domains", std::vector<std::string>{}),
                            [&](standin_host& one) { one.statements().pause(length, times); });
        }
        if (command.contains("crashing_part")) {
            this->fleet.crashing_part = text_member(command, "crashing_part");
        }
        if (const auto version = integer_member(command, "manifest"); version > 0) {
            this->store.put(
                "op", "config",
                to_text(make_manifest(static_cast<std::uint64_t>(version), text_member(command, "route"))));
        }
        caller.send(200, {}, {});
    }

    void silence(standin_host& host, time_ms length)
    {
        host.pause();
        const auto timer =
            std::make_shared<asio::steady_timer>(this->loop, std::chrono::milliseconds{length.count()});
        timer->async_wait([this, timer, &host, start = wall_clock_now()](const asio::error_code&) {
            host.resume();
            this->faults << to_text({{"kind", "host_silent"},
                                     {"whom", host.name()},
                                     {"start", start.count()},
                                     {"end", wall_clock_now().count()}})
                         << std::endl;
        });
    }

    void set_rate_limit(double per_second, const std::vector<std::string>& prefixes)
    {
        this->fleet.most_arrivals = 0;
        this->for_hosts(prefixes, [&](standin_host& host) { host.set_rate_limit(per_second); });
    }

    /// Calls the function for the hosts whose ids begin with one of the prefixes.
    template <typename Function>
    void for_hosts(const std::vector<std::string>& prefixes, Function function)
    {
        for (const auto& [id, host] : this->fleet.hosts) {
            if (std::any_of(prefixes.begin(), prefixes.end(),
                            [&, name = id](const std::string& prefix) { return name.starts_with(prefix); })) {
                function(*host);
            }
        }
    }

    [[nodiscard]] json_object status() const
    {
        auto leaders = json_object::array();
        auto replicas = json_object::object();
        for (const auto& [id, host] : this->fleet.hosts) {
            replicas[id] = host->replica();
            if (host->leads_open_replica()) {
                leaders.push_back(id);
            }
        }
        std::size_t late_arrivals = 0;
        std::size_t early_arrivals = 0;
        for (const auto& [id, host] : this->fleet.hosts) {
            late_arrivals += host->statements().late_arrivals();
            early_arrivals = std::max(early_arrivals, host->statements().early_arrivals());
        }
        unsigned duplicate_bookings = 0;
        for (const auto& [attempt, count] : this->fleet.run_counts) {
            duplicate_bookings += attempt.starts_with("book") && count > 1 ? 1 : 0;
        }
        return {{"leaders", leaders},
                {"replicas", replicas},
                {"bookings_run_twice", duplicate_bookings},
                {"joined_while_open", this->fleet.joined_while_open},
                {"marks_received", this->fleet.marks_received},
                {"most_arrivals", this->fleet.most_arrivals},
                {"late_arrivals", late_arrivals},
                {"early_arrivals", early_arrivals},
                {"crashes", this->fleet.crashes},
                {"crashing_arrivals", this->fleet.crashing_arrivals},
                {"runs", this->fleet.run_counts.size()}};
    }

    asio::io_context& loop;
    standin_store store;
    std::ofstream faults;
    std::ofstream joins;
    fleet_state fleet;
    std::vector<std::unique_ptr<standin_host>> hosts;
    std::shared_ptr<http_listener> store_listener;
    std::shared_ptr<http_listener> control_listener;
};

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN); // NOLINT(bugprone-signal-handler): no handler is set.
    (void)parse_command_line(argc, argv,
                             "Simulates the users' platform: its store, engines' hosts and a plain service.");
    asio::io_context loop{1};
    const standin_fleet fleet{loop};
    loop.run();
    return 0;
}

#include "router/router.hpp"

#include "router/completion_session.hpp"
#include "router/plain_session.hpp"
#include "runtime/log.hpp"

#include <algorithm>

namespace coriander {
namespace {

constexpr unsigned worker_threads = 16;
constexpr time_ms sweep_interval = 25_ms;
constexpr time_ms settle_interval = 1_s;
constexpr time_ms stop_margin = 1_s;
constexpr time_ms cache_poll_interval = 1_s;

member_identity identity_of(const settings& values, const std::string& incarnation)
{
    member_identity identity;
    identity.name = values.name;
    identity.incarnation = std::stoull(incarnation);
    identity.failure_domain = values.failure_domain;
    identity.region = values.region;
    return identity;
}

/// Whether every host of the replica stays, as far as the host list and operators say.
bool has_leaving_host(const replica_record& replica, const target_list& list)
{
    return std::any_of(replica.members.begin(), replica.members.end(), [&](const auto& member) {
        const auto host = std::find_if(list.hosts.begin(), list.hosts.end(),
                                       [&](const auto& one) { return one.id == member.host; });
        const bool is_leaving = host == list.hosts.end() || host->state == host_state::leaving;
        return is_leaving || list.drained.contains(member.host);
    });
}

} // namespace

router::router(const settings& values)
    : values{values}, incarnation{std::to_string(wall_clock_now().count())}, platform{{values.table_url,
                                                                                       values.object_url,
                                                                                       values.host_list_url}},
      peers{
          identity_of(values, incarnation), values.address, values.peer_port, values.peers, configs, routes},
      follower{this->values, platform, configs, peers}, poller{control_client, values.health_window,
                                                               [this](const host_report& report,
                                                                      time_ms asked_at) {
                                                                   this->take_load(report, asked_at);
                                                               }},
      claims{platform, calendar, seeded_generator(), values.name + "@" + incarnation,
             [this](const std::string& owner) { return this->peers.is_owner_alive(owner); }},
      workers{worker_threads}, context{this->values, {},    {},     numbers,  platform, data_client, configs,
                                       routes,       peers, claims, sessions, workers,  isolated},
      pages{numbers, [this] { return this->is_ready(); }, [this] { this->update_gauges(); }}
{
}

router::~router()
{
    this->end_threads();
    this->workers.join();
}

void router::end_threads()
{
    {
        const std::scoped_lock lock{this->mutex};
        this->ended = true;
    }
    this->end_requested.notify_all();
    for (auto& thread : this->threads) {
        thread.join();
    }
    this->threads.clear();
}

void router::start()
{
    this->server = std::make_unique<http_server>(
        this->values.address, this->values.http_port, this->values.threads,
        [this](const auto& request, const auto& reply) { this->handle(request, reply); });
    this->peers.start(this->values.address + ":" + std::to_string(this->server->port()));
    log_event(event::process_started, {{"name", this->values.name},
                                       {"version", CORIANDER_VERSION},
                                       {"http", this->server->port()},
                                       {"peer", this->peers.link().port()}});
    this->threads.emplace_back([this] { this->follow_loop(); });
    this->threads.emplace_back([this] { this->watch_loop(); });
    this->threads.emplace_back([this] { this->settle_loop(); });
    this->threads.emplace_back([this] { this->sweep_loop(); });
}

/// Waits, or returns false when the router ends.
bool router::pause(time_ms length)
{
    std::unique_lock lock{this->mutex};
    const auto duration = std::chrono::milliseconds{length.count()};
    return !this->end_requested.wait_for(lock, duration, [this] { return this->ended; });
}

void router::follow_loop()
{
    do {
        this->follower.round();
        this->follower.write_row(this->stopping);
        this->peers.set_state({this->stopping, this->follower.table_reachable()});
        const bool may_serve = this->follower.may_serve();
        if (this->isolated.exchange(!may_serve) == may_serve) {
            log_event(may_serve ? event::member_rejoined : event::member_isolated,
                      {{"name", this->values.name}});
        }
    } while (this->pause(this->values.refresh_interval));
}

void router::watch_loop()
{
    // Targets are known after hosts were asked once and had time to answer.
    constexpr int rounds_until_ready = 3;
    for (int round = 1; this->pause(this->values.health_interval); ++round) {
        this->routes.configure(this->configs.current()->config);
        this->watch_targets();
        this->update_routes();
        this->routes_ready = round >= rounds_until_ready && this->configs.current()->record.number > 0;
        this->poll_cache_events();
    }
}

/// Asks every host of the replicas that this router may use.
void router::watch_targets()
{
    std::vector<polled_host> targets;
    for (const auto& replica : this->follower.targets()->replicas) {
        for (const auto& member : replica.members) {
            targets.push_back({member.host, member.address});
        }
    }
    this->poller.poll(targets, this->values.health_window);
}

void router::update_routes()
{
    const auto list = this->follower.targets();
    const auto now = this->context.clock.now();
    const auto config = this->configs.current();
    for (const auto& service : config->config.services) {
        const auto route = this->routes.find(service.name);
        const auto* rules = config->config.find_profile(service.profile);
        if (!route || rules == nullptr) {
            continue;
        }
        std::vector<route_target> serving;
        std::set<std::string> broken;
        for (const auto& host : list->hosts) {
            const bool is_target = rules->kind == profile_kind::plain && host.kind == host_kind::plain &&
                                   host.service == service.name && host.state == host_state::live &&
                                   !list->drained.contains(host.id);
            if (is_target) {
                serving.push_back({host.id, host.address, 0});
            }
        }
        this->poller.with_health([&](const replica_health& health) {
            for (const auto& replica : list->replicas) {
                if (replica.service != service.name || replica.members.empty()) {
                    continue;
                }
                auto as_wanted = replica;
                as_wanted.state = replica_state::serving;
                const bool is_whole = health.check(as_wanted, now).serves();
                if (!is_whole) {
                    broken.insert(forming_of(replica.id(), replica.generation));
                }
                else if (replica.state == replica_state::serving && !has_leaving_host(replica, *list)) {
                    serving.push_back({replica.id(), replica.members.front().address, replica.generation});
                }
            }
        });
        {
            const std::scoped_lock lock{route->mutex};
            route->requests.set_targets(serving);
            route->broken = std::move(broken);
        }
        this->context.pump(*route);
    }
}

/// A replica's load is its leader's.
void router::take_load(const host_report& report, time_ms asked_at)
{
    const auto list = this->follower.targets();
    const auto replica = std::find_if(list->replicas.begin(), list->replicas.end(), [&](const auto& one) {
        return one.id() == report.replica && !one.members.empty() && one.members.front().host == report.host;
    });
    const auto route = replica != list->replicas.end() ? this->routes.find(replica->service) : nullptr;
    if (route) {
        const std::scoped_lock lock{route->mutex};
        route->requests.on_load(report.replica, report.running, report.queued, asked_at);
    }
}

/// Asks the leaders for what happened in their prefix caches since the last answer.
void router::poll_cache_events()
{
    const auto now = this->context.clock.now();
    if (now - this->cache_polled_at < cache_poll_interval) {
        return;
    }
    this->cache_polled_at = now;
    for (const auto& replica : this->follower.targets()->replicas) {
        const auto route = this->routes.find(replica.service);
        if (route && replica.state == replica_state::serving && !replica.members.empty()) {
            this->ask_for_cache_events(route, replica);
        }
    }
}

void router::ask_for_cache_events(const std::shared_ptr<service_route>& route, const replica_record& replica)
{
    http_call call;
    call.url = "http://" + replica.members.front().address + "/engine/cache-events";
    call.total_limit = this->values.health_window;
    {
        const std::scoped_lock lock{route->mutex};
        // Without a number the answer holds all that is cached.
        if (const auto last = route->requests.prefixes().last_event(replica.id()); last > 0) {
            call.url += "?since=" + std::to_string(last);
        }
    }
    this->control_client.start(std::move(call), {}, [route, id = replica.id()](const http_result& end) {
        if (const auto answer = end.ok() ? decode_cache_answer(end.body) : std::nullopt) {
            const std::scoped_lock lock{route->mutex};
            route->requests.prefixes().update(id, *answer);
        }
    });
}

void router::settle_loop()
{
    while (this->pause(settle_interval)) {
        this->numbers.set("coriander_claims_unsettled", "", static_cast<double>(this->claims.settle()));
    }
}

/// Looks at limits of time, and hands out what waits.
void router::sweep_loop()
{
    while (this->pause(sweep_interval)) {
        for (const auto& session : this->sessions.all()) {
            session->check();
        }
        for (const auto& route : this->routes.all()) {
            this->refuse_expired(*route);
            this->context.pump(*route);
        }
    }
}

/// A request that has waited for as long as it may gets its final answer at once.
void router::refuse_expired(service_route& route)
{
    std::vector<ticket_id> expired;
    {
        const std::scoped_lock lock{route.mutex};
        expired = route.requests.take_expired(this->context.clock.now());
    }
    for (const auto ticket : expired) {
        if (const auto session = this->sessions.find(ticket)) {
            session->on_expired();
        }
    }
}

bool router::is_ready()
{
    return !this->stopping && !this->isolated && this->routes_ready;
}

void router::handle(const std::shared_ptr<const http_request>& request,
                    const std::shared_ptr<http_reply>& reply)
{
    const auto& path = request->path;
    const bool is_post = request->method == "POST";
    if (path == "/v1/completions" && is_post) {
        std::make_shared<completion_session>(this->context, request, reply, completion_kind::text)->start();
    }
    else if (path == "/v1/chat/completions" && is_post) {
        std::make_shared<completion_session>(this->context, request, reply, completion_kind::chat)->start();
    }
    else if (path.starts_with("/v1/services/")) {
        std::make_shared<plain_session>(this->context, request, reply)->start();
    }
    else if (path == "/v1/entry-hosts") {
        this->send_entry_hosts(*reply);
    }
    else if (path == "/admin/status") {
        this->send_status(*reply);
    }
    else if (!this->pages.handle(*request, *reply)) {
        reply->send(
            error_response({404, "no_such_path", run_state::not_run, "there is nothing at this path", {}}));
    }
}

void router::stop()
{
    log_event(event::process_stopping, {{"name", this->values.name}, {"open", this->sessions.size()}});
    this->stopping = true;
    // Callers may hold an answer that names this host for as long as it says; they are still served.
    this->pause(this->values.address_ttl + stop_margin);
    this->wait_for_sessions(this->values.drain_limit);
    this->end_threads();
    this->follower.remove_row();
    log_event(event::process_stopped, {{"name", this->values.name}});
}

void router::wait_for_sessions(time_ms limit)
{
    const auto until = this->context.clock.now() + limit;
    while (this->sessions.size() > 0) {
        if (this->context.clock.now() >= until) {
            log_event(event::stop_limit_reached, {{"open", this->sessions.size()}});
            for (const auto& session : this->sessions.all()) {
                session->on_stop_limit();
            }
            break;
        }
        this->pause(sweep_interval);
    }
    // What was handed to the connections leaves in this time.
    this->pause(sweep_interval * 4);
}

} // namespace coriander

#include "router/router.hpp"

#include "coriander/build_name.hpp"
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
    identity.build = own_build_name();
    return identity;
}

/// Whether a host of the replica is leaving, missing from the host list or being drained by an operator.
bool has_leaving_host(const replica_record& replica, const target_list& list)
{
    return std::any_of(replica.members.begin(), replica.members.end(), [&](const auto& member) {
        const auto host = std::find_if(list.hosts.begin(), list.hosts.end(),
                                       [&](const auto& listed) { return listed.id == member.host; });
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
      table{this->values, platform, configs, peers}, poller{control_client, values.health_window,
                                                            [this](const host_report& report,
                                                                   time_ms asked_at) {
                                                                this->on_load_report(report, asked_at);
                                                            }},
      claims{platform, wall, seeded_generator(), values.name + "@" + incarnation,
             [this](const std::string& owner) { return this->peers.is_owner_alive(owner); }},
      workers{worker_threads}, context{this->values, {},    {},     numbers,  platform, data_client, configs,
                                       routes,       peers, claims, sessions, workers,  isolated},
      pages{numbers, [this] { return this->is_ready(); }, [this] { this->update_gauges(); }}
{
}

router::~router()
{
    this->stop_threads();
    this->workers.join();
}

void router::stop_threads()
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
                                       {"version", own_build_name()},
                                       {"http", this->server->port()},
                                       {"peer", this->peers.link().port()}});
    this->threads.emplace_back([this] { this->refresh_loop(); });
    this->threads.emplace_back([this] { this->health_loop(); });
    this->threads.emplace_back([this] { this->claim_loop(); });
    this->threads.emplace_back([this] { this->sweep_loop(); });
}

/// Waits for `length`. Returns false at once when the router's threads are to stop.
bool router::pause(time_ms length)
{
    std::unique_lock lock{this->mutex};
    const auto duration = std::chrono::milliseconds{length.count()};
    return !this->end_requested.wait_for(lock, duration, [this] { return this->ended; });
}

void router::refresh_loop()
{
    do {
        this->table.refresh();
        this->table.write_member_row(this->stopping);
        this->peers.set_state({this->stopping, this->table.table_reachable()});
        const bool may_serve = this->table.may_serve();
        if (this->isolated.exchange(!may_serve) == may_serve) {
            log_event(may_serve ? event::member_rejoined : event::member_isolated,
                      {{"name", this->values.name}});
        }
    } while (this->pause(this->values.refresh_interval));
}

void router::health_loop()
{
    // The first rounds poll the hosts and leave them time to answer before the router reports itself ready.
    constexpr int rounds_until_ready = 3;
    for (int round = 1; this->pause(this->values.health_interval); ++round) {
        this->routes.configure(this->configs.current()->config);
        this->poll_targets();
        this->update_routes();
        this->routes_ready = round >= rounds_until_ready && this->configs.current()->record.number > 0;
        this->poll_cache_events();
    }
}

/// Polls every host of all known replicas for its report.
void router::poll_targets()
{
    std::vector<polled_host> targets;
    for (const auto& replica : this->table.targets()->replicas) {
        for (const auto& member : replica.members) {
            targets.push_back({member.host, member.address});
        }
    }
    this->poller.poll(targets, this->values.health_window);
}

void router::update_routes()
{
    const auto list = this->table.targets();
    const auto now = this->context.clock.now();
    const auto config = this->configs.current();
    for (const auto& service : config->config.services) {
        const auto route = this->routes.find(service.name);
        const auto* rules = config->config.find_profile(service.profile);
        if (!route || rules == nullptr) {
            continue;
        }
        std::vector<route_target> serving;
        std::set<std::string> unhealthy;
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
                auto assumed_serving = replica;
                assumed_serving.state = replica_state::serving;
                const bool is_healthy = health.check(assumed_serving, now).serves();
                if (!is_healthy) {
                    unhealthy.insert(replica_generation_key(replica.id(), replica.generation));
                }
                else if (replica.state == replica_state::serving && !has_leaving_host(replica, *list)) {
                    serving.push_back({replica.id(), replica.members.front().address, replica.generation});
                }
            }
        });
        {
            const std::scoped_lock lock{route->mutex};
            route->requests.set_targets(serving);
            route->unhealthy = std::move(unhealthy);
        }
        this->context.dispatch_queued(*route);
    }
}

/// A replica's load is the one that its leader reports; reports of other hosts are ignored.
void router::on_load_report(const host_report& report, time_ms asked_at)
{
    const auto list = this->table.targets();
    const auto replica = std::find_if(list->replicas.begin(), list->replicas.end(), [&](const auto& known) {
        return known.id() == report.replica && !known.members.empty() &&
               known.members.front().host == report.host;
    });
    const auto route = replica != list->replicas.end() ? this->routes.find(replica->service) : nullptr;
    if (route) {
        const std::scoped_lock lock{route->mutex};
        route->requests.on_load(report.replica, report.running, report.queued, asked_at);
    }
}

/// Requests the prefix-cache events since the last answer from the leader of each serving replica.
void router::poll_cache_events()
{
    const auto now = this->context.clock.now();
    if (now - this->cache_polled_at < cache_poll_interval) {
        return;
    }
    this->cache_polled_at = now;
    for (const auto& replica : this->table.targets()->replicas) {
        const auto route = this->routes.find(replica.service);
        if (route && replica.state == replica_state::serving && !replica.members.empty()) {
            this->request_cache_events(route, replica);
        }
    }
}

void router::request_cache_events(const std::shared_ptr<service_route>& route, const replica_record& replica)
{
    http_call call;
    call.url = "http://" + replica.members.front().address + "/engine/cache-events";
    call.total_timeout = this->values.health_window;
    {
        const std::scoped_lock lock{route->mutex};
        // Without `since` the answer lists the whole cache.
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

void router::claim_loop()
{
    while (this->pause(settle_interval)) {
        this->numbers.set("coriander_claims_unsettled", "", static_cast<double>(this->claims.settle()));
    }
}

/// Checks the sessions' timeouts, and times out or dispatches queued requests.
void router::sweep_loop()
{
    while (this->pause(sweep_interval)) {
        for (const auto& session : this->sessions.all()) {
            session->check();
        }
        for (const auto& route : this->routes.all()) {
            this->refuse_timed_out(*route);
            this->context.dispatch_queued(*route);
        }
    }
}

/// Sends an error to the requests whose time in the queue ran out.
void router::refuse_timed_out(service_route& route)
{
    std::vector<ticket_id> expired;
    {
        const std::scoped_lock lock{route.mutex};
        expired = route.requests.take_expired(this->context.clock.now());
    }
    for (const auto ticket : expired) {
        if (const auto session = this->sessions.find(ticket)) {
            session->on_queue_timeout();
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
        reply->send(error_response(
            {404, "no_such_path", run_state::not_run, "there is no resource at this path", {}}));
    }
}

void router::stop()
{
    log_event(event::process_stopping, {{"name", this->values.name}, {"open", this->sessions.size()}});
    this->stopping = true;
    // Callers may use a list of entry hosts that names this one until its TTL ends; they are still served.
    this->pause(this->values.address_ttl + stop_margin);
    this->wait_for_sessions(this->values.drain_limit);
    this->stop_threads();
    this->table.remove_member_row();
    log_event(event::process_stopped, {{"name", this->values.name}});
}

void router::wait_for_sessions(time_ms limit)
{
    const auto until = this->context.clock.now() + limit;
    while (this->sessions.size() > 0) {
        if (this->context.clock.now() >= until) {
            log_event(event::stop_limit_reached, {{"open", this->sessions.size()}});
            for (const auto& session : this->sessions.all()) {
                session->on_drain_timeout();
            }
            break;
        }
        this->pause(sweep_interval);
    }
    // Leaves time for the last responses to be written to their connections.
    this->pause(sweep_interval * 4);
}

} // namespace coriander

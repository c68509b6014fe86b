#include "runtime/host_poller.hpp"

#include "coriander/clock.hpp"

namespace coriander {

host_poller::host_poller(http_client& client, time_ms window, on_report notify)
    : client{client}, notify{std::move(notify)}, shared{std::make_shared<state>(window)}
{
}

void host_poller::poll(const std::vector<polled_host>& targets, time_ms limit)
{
    for (const auto& target : targets) {
        {
            const std::scoped_lock lock{this->shared->mutex};
            if (!this->shared->open.insert(target.host).second) {
                continue;
            }
        }
        http_call call;
        call.url = "http://" + target.address + "/engine/report";
        call.total_limit = limit;
        const auto asked_at = monotonic_clock{}.now();
        this->client.start(
            std::move(call), {},
            [shared = this->shared, notify = this->notify, target, asked_at](const http_result& end) {
                const auto report = end.ok() ? decode_host_report(end.body) : std::nullopt;
                {
                    const std::scoped_lock lock{shared->mutex};
                    shared->open.erase(target.host);
                    if (report && report->host == target.host) {
                        shared->health.on_report(*report, asked_at);
                    }
                    else if (end.refused) {
                        shared->health.on_host_lost(target.host);
                    }
                }
                if (report && report->host == target.host && notify) {
                    notify(*report, asked_at);
                }
            });
    }
}

} // namespace coriander

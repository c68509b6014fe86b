#include "runtime/host_poller.hpp"

#include "coriander/clock.hpp"

namespace coriander {

host_poller::host_poller(http_client& client, time_ms report_lifetime, report_callback notify)
    : client{client}, notify{std::move(notify)}, shared{std::make_shared<state>(report_lifetime)}
{
}

void host_poller::poll(const std::vector<polled_host>& hosts, time_ms timeout)
{
    for (const auto& polled : hosts) {
        {
            const std::scoped_lock lock{this->shared->mutex};
            if (!this->shared->in_flight.insert(polled.host).second) {
                continue;
            }
        }
        http_call call;
        call.url = "http://" + polled.address + "/engine/report";
        call.total_timeout = timeout;
        const auto sent_at = monotonic_clock{}.now();
        this->client.start(
            std::move(call), {},
            [shared = this->shared, notify = this->notify, polled, sent_at](const http_result& response) {
                const auto report = response.ok() ? decode_host_report(response.body) : std::nullopt;
                {
                    const std::scoped_lock lock{shared->mutex};
                    shared->in_flight.erase(polled.host);
                    if (report && report->host == polled.host) {
                        shared->health.on_report(*report, sent_at);
                    }
                    else if (response.refused) {
                        shared->health.on_host_lost(polled.host);
                    }
                }
                if (report && report->host == polled.host && notify) {
                    notify(*report, sent_at);
                }
            });
    }
}

} // namespace coriander

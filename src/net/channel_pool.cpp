#include "net/channel_pool.hpp"

#include <asio/ip/address.hpp>

#include <algorithm>
#include <charconv>

namespace coriander {

std::shared_ptr<http_channel> channel_pool::acquire(const std::string& address, bool is_fresh,
                                                    bool* was_reused)
{
    const auto now = this->clock.now();
    auto& idle_channels = this->idle[address];
    while (!is_fresh && !idle_channels.empty()) {
        auto last = std::move(idle_channels.back());
        idle_channels.pop_back();
        if (last.channel->is_reusable() && now < last.expires_at) {
            if (was_reused != nullptr) {
                *was_reused = true;
            }
            return last.channel;
        }
        last.channel->close();
    }
    const auto endpoint = parse_endpoint(address);
    if (endpoint.port() == 0) {
        return nullptr;
    }
    auto channel = std::make_shared<http_channel>(this->loop, this->settings.liveness);
    channel->connect(endpoint, this->settings.connect_timeout);
    return channel;
}

void channel_pool::release(const std::string& address, const std::shared_ptr<http_channel>& channel)
{
    auto& idle_channels = this->idle[address];
    if (!channel->is_reusable() || idle_channels.size() >= this->settings.max_idle_per_server) {
        channel->close();
        return;
    }
    auto idle_time = this->settings.max_idle_time;
    if (channel->keep_alive() > time_ms{}) {
        idle_time = std::min(idle_time, channel->keep_alive() - this->settings.keep_alive_margin);
    }
    idle_channels.push_back({channel, this->clock.now() + idle_time});
}

void channel_pool::close_idle()
{
    for (auto& [address, idle_channels] : std::exchange(this->idle, {})) {
        for (auto& one : idle_channels) {
            one.channel->close();
        }
    }
}

void channel_pool::close_expired()
{
    const auto now = this->clock.now();
    for (auto& [address, idle_channels] : this->idle) {
        std::erase_if(idle_channels, [&](idle_channel& one) {
            const bool is_expired = now >= one.expires_at || !one.channel->is_reusable();
            if (is_expired) {
                one.channel->close();
            }
            return is_expired;
        });
    }
    std::erase_if(this->idle, [](const auto& item) { return item.second.empty(); });
}

asio::ip::tcp::endpoint parse_endpoint(const std::string& address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos) {
        return {};
    }
    asio::error_code problem;
    const auto ip = asio::ip::make_address(address.substr(0, colon), problem);
    std::uint16_t port = 0;
    const auto* begin = address.data() + colon + 1;
    const auto parsed = std::from_chars(begin, address.data() + address.size(), port);
    if (problem || parsed.ec != std::errc{} || parsed.ptr != address.data() + address.size()) {
        return {};
    }
    return {ip, port};
}

} // namespace coriander

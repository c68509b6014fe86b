#include "peer/peer_message.hpp"

#include "coriander/build_name.hpp"
#include "peer/generated/peer_generated.h"

#include <algorithm>
#include <limits>

namespace coriander {
namespace {

constexpr std::uint32_t stopping_flag = 1;
constexpr std::uint32_t table_reachable_flag = 2;
constexpr std::uint32_t cut_off_flag = 4;
constexpr std::uint32_t strong_flag = 8;
constexpr std::uint32_t known_flags = stopping_flag | table_reachable_flag | cut_off_flag | strong_flag;
constexpr std::size_t key_half_size = mac_key_size / 2;
constexpr std::size_t bits_per_byte = 8;

std::string text_of(const flatbuffers::String* text)
{
    return text != nullptr ? text->str() : std::string{};
}

std::uint32_t flags_of(const member_heartbeat& beat)
{
    return (beat.stopping ? stopping_flag : 0) | (beat.table_reachable ? table_reachable_flag : 0) |
           (beat.is_cut_off ? cut_off_flag : 0) | (beat.is_strong ? strong_flag : 0) |
           (beat.unknown_flags & ~known_flags);
}

/// Clamps a count to the 16 bits that it has on the wire.
std::uint16_t clamped_count(std::int64_t count)
{
    return static_cast<std::uint16_t>(
        std::clamp<std::int64_t>(count, 0, std::numeric_limits<std::uint16_t>::max()));
}

std::uint32_t clamped_age(time_ms age)
{
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(age.count(), 0, std::numeric_limits<std::uint32_t>::max()));
}

wire::RateLimit wire_limit(const rate_limit& limit)
{
    return {limit.target, static_cast<float>(limit.per_second), clamped_age(limit.age)};
}

wire::PermitRequest wire_permit_request(const permit_request& request)
{
    return {request.id, wire_limit(request.limit)};
}

wire::PermitAnswer wire_permit_answer(const permit_answer& answer)
{
    return {answer.id, clamped_age(answer.decision.wait), answer.decision.is_granted};
}

wire::HostStatement wire_statement(const host_statement& statement)
{
    return {statement.host, clamped_age(statement.pause_left), statement.is_leaving};
}

/// The part of a key that begins at the byte `first`, the same on all machines.
std::uint64_t half_of(const mac_key& key, std::size_t first)
{
    std::uint64_t half = 0;
    for (std::size_t i = 0; i < key_half_size; ++i) {
        half |= static_cast<std::uint64_t>(key.at(first + i)) << (i * bits_per_byte);
    }
    return half;
}

wire::RelayKey wire_relay_key(const mac_key& key)
{
    return {half_of(key, 0), half_of(key, key_half_size)};
}

mac_key read_relay_key(const wire::RelayKey& sent)
{
    constexpr std::uint64_t byte_mask = 0xFF;
    mac_key key{};
    for (std::size_t i = 0; i < key_half_size; ++i) {
        key.at(i) = static_cast<std::uint8_t>(sent.low() >> (i * bits_per_byte) & byte_mask);
        key.at(key_half_size + i) = static_cast<std::uint8_t>(sent.high() >> (i * bits_per_byte) & byte_mask);
    }
    return key;
}

/// Converts each item to its form on the wire.
template <typename Wire, typename Item, typename Convert>
std::vector<Wire> converted(const std::vector<Item>& items, Convert convert)
{
    std::vector<Wire> result;
    result.reserve(items.size());
    for (const auto& item : items) {
        result.push_back(convert(item));
    }
    return result;
}

wire::TargetLoad wire_target_load(const load_report& load)
{
    return {load.target, clamped_count(load.running), clamped_count(load.waiting),
            clamped_count(load.age.count())};
}

wire::ModelDemand wire_model_demand(const model_demand& demand)
{
    const auto& load = demand.load;
    return {demand.model, static_cast<float>(load.requests_per_s), static_cast<float>(load.prompt_tokens),
            static_cast<float>(load.answer_tokens), static_cast<float>(load.duration_ms)};
}

/// The parts of a message about places.
struct wire_places {
    std::vector<wire::PlaceRequest> requests;
    std::vector<wire::PlaceAnswer> answers;
    std::vector<wire::PlaceRelease> releases;
};

wire_places wire_places_of(const place_message& places)
{
    return {converted<wire::PlaceRequest>(places.requests,
                                          [](const auto& one) {
                                              return wire::PlaceRequest{one.id,    one.target, one.customer,
                                                                        one.slots, one.rank,   one.tries};
                                          }),
            converted<wire::PlaceAnswer>(places.answers,
                                         [](const auto& one) {
                                             return wire::PlaceAnswer{one.id, one.is_granted};
                                         }),
            converted<wire::PlaceRelease>(places.releases, [](const auto& one) {
                return wire::PlaceRelease{one.id, one.target, static_cast<std::uint8_t>(one.timing)};
            })};
}

/// Serializes one message.
class message_writer {
public:
    std::vector<std::uint8_t> write(const peer_message& message)
    {
        const auto identities = this->write_identities(message.identities);
        const auto beats = converted<wire::Beat>(message.beats, [](const auto& one) {
            return wire::Beat{one.id, one.incarnation, one.config_number, one.counter, flags_of(one)};
        });
        const auto strikes =
            converted<flatbuffers::Offset<wire::Strike>>(message.strikes, [this](const auto& one) {
                return wire::CreateStrikeDirect(this->builder, one.digest.c_str(), one.deaths,
                                                one.deaths_alone, one.cleared);
            });
        const auto demands =
            converted<flatbuffers::Offset<wire::Demand>>(message.demands, [this](const auto& one) {
                return wire::CreateDemandDirect(this->builder, one.customer.c_str(), one.requests_per_second);
            });
        const auto loads = converted<wire::TargetLoad>(message.loads.targets, wire_target_load);
        const auto model_demands = converted<wire::ModelDemand>(message.loads.demands, wire_model_demand);
        const auto lost_hosts = this->write_lost_hosts(message.lost_hosts);
        const auto suspects = converted<flatbuffers::Offset<wire::CrashSuspect>>(
            message.crashes.suspects, [this](const auto& one) {
                return wire::CreateCrashSuspectDirect(this->builder, one.crash, clamped_age(one.age),
                                                      one.had_started, &one.fingerprints);
            });
        const auto cleared = converted<wire::ClearedPrint>(message.crashes.cleared, [](const auto& one) {
            return wire::ClearedPrint{one.print, clamped_age(one.age)};
        });
        const auto limits = converted<wire::RateLimit>(message.loads.limits, wire_limit);
        const auto permit_requests =
            converted<wire::PermitRequest>(message.permits.requests, wire_permit_request);
        const auto permit_answers =
            converted<wire::PermitAnswer>(message.permits.answers, wire_permit_answer);
        const auto statements = converted<wire::HostStatement>(message.loads.statements, wire_statement);
        const auto places = wire_places_of(message.permits.places);
        const auto kept = this->write_kept_requests(message.kept);
        const auto emptied = converted<flatbuffers::Offset<wire::EmptiedDomain>>(
            message.loads.emptied, [this](const auto& one) {
                return wire::CreateEmptiedDomainDirect(this->builder, one.domain.c_str(), one.version.era,
                                                       one.version.number, one.is_emptied,
                                                       clamped_age(one.age));
            });
        const auto relay_key = wire_relay_key(message.relay_key.value_or(mac_key{}));
        const auto config = this->write_config(message.config);
        const auto news = this->write_news(message.news);
        this->builder.Finish(wire::CreatePeerMessageDirect(
            this->builder, &identities, &beats, &strikes, &demands, config, news, &loads, &model_demands,
            &lost_hosts, &suspects, &cleared, &limits, &permit_requests, &permit_answers, &statements, &kept,
            message.relay_key ? &relay_key : nullptr, message.packed.empty() ? nullptr : &message.packed,
            message.packed_size, emptied.empty() ? nullptr : &emptied,
            places.requests.empty() ? nullptr : &places.requests,
            places.answers.empty() ? nullptr : &places.answers,
            places.releases.empty() ? nullptr : &places.releases));
        return {this->builder.GetBufferPointer(), this->builder.GetBufferPointer() + this->builder.GetSize()};
    }

private:
    std::vector<flatbuffers::Offset<wire::Identity>>
    write_identities(const std::vector<member_identity>& identities)
    {
        return converted<flatbuffers::Offset<wire::Identity>>(identities, [this](const auto& one) {
            return wire::CreateIdentityDirect(
                this->builder, one.name.c_str(), one.incarnation, one.http_address.c_str(),
                one.peer_address.c_str(), one.failure_domain.c_str(), one.region.c_str(), one.features.bits(),
                one.build.empty() ? nullptr : one.build.c_str());
        });
    }

    std::vector<flatbuffers::Offset<wire::LostHost>> write_lost_hosts(const std::vector<lost_host>& hosts)
    {
        return converted<flatbuffers::Offset<wire::LostHost>>(hosts, [this](const auto& one) {
            return wire::CreateLostHostDirect(this->builder, one.id.c_str(), one.incarnation);
        });
    }

    std::vector<flatbuffers::Offset<wire::KeptRequests>>
    write_kept_requests(const std::vector<kept_requests>& reports)
    {
        return converted<flatbuffers::Offset<wire::KeptRequests>>(reports, [this](const auto& one) {
            return wire::CreateKeptRequestsDirect(this->builder, one.row_key.c_str(), one.replica.c_str());
        });
    }

    flatbuffers::Offset<wire::Config> write_config(const std::optional<config_record>& record)
    {
        if (!record) {
            return 0;
        }
        return wire::CreateConfigDirect(this->builder, record->number, record->author.c_str(),
                                        record->token.c_str(), record->proposed_at.count(),
                                        record->toml.c_str());
    }

    flatbuffers::Offset<wire::News> write_news(const std::optional<table_delta>& news)
    {
        if (!news) {
            return 0;
        }
        std::vector<flatbuffers::Offset<wire::Row>> rows;
        for (const auto& one : news->rows) {
            const auto key = this->builder.CreateString(one.key);
            const auto value = this->builder.CreateString(one.value.value_or(std::string{}));
            rows.push_back(wire::CreateRow(this->builder, key, value, !one.value, one.version.number));
        }
        return wire::CreateNewsDirect(this->builder, news->table.c_str(), news->from.number, news->to.number,
                                      static_cast<std::uint32_t>(news->grace.count()), &rows, news->to.era);
    }

    flatbuffers::FlatBufferBuilder builder;
};

void read_members(const wire::PeerMessage& root, peer_message& message)
{
    if (const auto* identities = root.identities()) {
        for (const auto* one : *identities) {
            message.identities.push_back(
                {text_of(one->name()), one->incarnation(), text_of(one->http_address()),
                 text_of(one->peer_address()), text_of(one->failure_domain()), text_of(one->region()),
                 feature_set::from_bits(one->features()), checked_build_name(text_of(one->build()))});
        }
    }
    if (const auto* beats = root.beats()) {
        for (const auto* one : *beats) {
            message.beats.push_back({one->id(), one->incarnation(), one->beat(), one->config_number(),
                                     (one->flags() & stopping_flag) != 0,
                                     (one->flags() & table_reachable_flag) != 0,
                                     (one->flags() & cut_off_flag) != 0, (one->flags() & strong_flag) != 0,
                                     one->flags() & ~known_flags});
        }
    }
}

void read_strikes_and_config(const wire::PeerMessage& root, peer_message& message)
{
    if (const auto* strikes = root.strikes()) {
        for (const auto* one : *strikes) {
            message.strikes.push_back(
                {text_of(one->digest()), one->deaths(), one->deaths_alone(), one->cleared()});
        }
    }
    if (const auto* demands = root.demands()) {
        for (const auto* one : *demands) {
            message.demands.push_back({text_of(one->customer()), one->requests_per_second()});
        }
    }
    if (const auto* config = root.config()) {
        message.config = config_record{config->number(), text_of(config->author()), text_of(config->token()),
                                       time_ms{config->proposed_at()}, text_of(config->toml())};
    }
}

void read_loads(const wire::PeerMessage& root, peer_message& message)
{
    if (const auto* loads = root.loads()) {
        for (const auto* one : *loads) {
            message.loads.targets.push_back(
                {one->target(), one->running(), one->waiting(), time_ms{one->age_ms()}});
        }
    }
    if (const auto* demands = root.model_demands()) {
        for (const auto* one : *demands) {
            message.loads.demands.push_back(
                {one->model(),
                 {one->requests_per_s(), one->prompt_tokens(), one->answer_tokens(), one->duration_ms()}});
        }
    }
}

void read_statements(const wire::PeerMessage& root, peer_message& message)
{
    if (const auto* statements = root.host_statements()) {
        for (const auto* one : *statements) {
            message.loads.statements.push_back({one->host(), time_ms{one->pause_ms()}, one->is_leaving()});
        }
    }
}

void read_emptied_domains(const wire::PeerMessage& root, peer_message& message)
{
    if (const auto* domains = root.emptied_domains()) {
        for (const auto* one : *domains) {
            message.loads.emptied.push_back({text_of(one->name()),
                                             {one->era(), one->version()},
                                             one->is_emptied(),
                                             time_ms{one->age_ms()}});
        }
    }
}

void read_lost_hosts(const wire::PeerMessage& root, peer_message& message)
{
    if (const auto* hosts = root.lost_hosts()) {
        for (const auto* one : *hosts) {
            message.lost_hosts.push_back({text_of(one->id()), one->incarnation()});
        }
    }
}

void read_kept_requests(const wire::PeerMessage& root, peer_message& message)
{
    if (const auto* reports = root.kept_requests()) {
        for (const auto* one : *reports) {
            message.kept.push_back({text_of(one->row_key()), text_of(one->replica())});
        }
    }
}

void read_crashes(const wire::PeerMessage& root, peer_message& message)
{
    if (const auto* suspects = root.crash_suspects()) {
        for (const auto* one : *suspects) {
            std::vector<fingerprint> prints;
            if (const auto* sent = one->fingerprints()) {
                prints.assign(sent->begin(), sent->end());
            }
            message.crashes.suspects.push_back(
                {one->crash(), one->had_started(), std::move(prints), time_ms{one->age_ms()}});
        }
    }
    if (const auto* cleared = root.cleared_prints()) {
        for (const auto* one : *cleared) {
            message.crashes.cleared.push_back({one->print(), time_ms{one->age_ms()}});
        }
    }
}

rate_limit read_limit(const wire::RateLimit& limit)
{
    return {limit.target(), limit.per_second(), time_ms{limit.age_ms()}};
}

void read_permits(const wire::PeerMessage& root, peer_message& message)
{
    if (const auto* limits = root.rate_limits()) {
        for (const auto* one : *limits) {
            message.loads.limits.push_back(read_limit(*one));
        }
    }
    if (const auto* requests = root.permit_requests()) {
        for (const auto* one : *requests) {
            message.permits.requests.push_back({one->id(), read_limit(one->limit())});
        }
    }
    if (const auto* answers = root.permit_answers()) {
        for (const auto* one : *answers) {
            message.permits.answers.push_back({one->id(), {one->is_granted(), time_ms{one->wait_ms()}}});
        }
    }
}

void read_places(const wire::PeerMessage& root, place_message& places)
{
    if (const auto* requests = root.place_requests()) {
        for (const auto* one : *requests) {
            places.requests.push_back(
                {one->id(), one->target(), one->customer(), one->slots(), one->rank(), one->tries()});
        }
    }
    if (const auto* answers = root.place_answers()) {
        for (const auto* one : *answers) {
            places.answers.push_back({one->id(), one->is_granted()});
        }
    }
    if (const auto* releases = root.place_releases()) {
        for (const auto* one : *releases) {
            const auto timing = static_cast<answer_timing>(one->timing());
            const bool is_known = timing == answer_timing::in_time || timing == answer_timing::late;
            places.releases.push_back({one->id(), one->target(), is_known ? timing : answer_timing::unknown});
        }
    }
}

void read_news(const wire::PeerMessage& root, peer_message& message)
{
    const auto* news = root.news();
    if (news == nullptr) {
        return;
    }
    message.news = table_delta{text_of(news->table_name()),
                               {news->era(), news->from()},
                               {news->era(), news->to()},
                               time_ms{news->grace_ms()},
                               {}};
    if (const auto* rows = news->rows()) {
        for (const auto* one : *rows) {
            auto value = one->is_deleted() ? std::nullopt : std::optional{text_of(one->value())};
            message.news->rows.push_back(
                {text_of(one->key()), std::move(value), {news->era(), one->version()}});
        }
    }
}

} // namespace

std::vector<std::uint8_t> encode_peer_message(const peer_message& message)
{
    return message_writer{}.write(message);
}

result<peer_message> decode_peer_message(std::span<const std::uint8_t> bytes)
{
    flatbuffers::Verifier verifier{bytes.data(), bytes.size()};
    if (!wire::VerifyPeerMessageBuffer(verifier)) {
        return fail(error_kind::malformed, "malformed peer message");
    }
    const auto& root = *wire::GetPeerMessage(bytes.data());
    peer_message message;
    read_members(root, message);
    read_strikes_and_config(root, message);
    read_news(root, message);
    read_loads(root, message);
    read_statements(root, message);
    read_emptied_domains(root, message);
    read_lost_hosts(root, message);
    read_kept_requests(root, message);
    read_crashes(root, message);
    read_permits(root, message);
    read_places(root, message.permits.places);
    if (const auto* key = root.relay_key()) {
        message.relay_key = read_relay_key(*key);
    }
    if (const auto* packed = root.packed()) {
        message.packed.assign(packed->begin(), packed->end());
        message.packed_size = root.packed_size();
    }
    return message;
}

} // namespace coriander

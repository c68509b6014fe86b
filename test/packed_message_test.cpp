#include "peer/packed_message.hpp"

#include <catch2/catch.hpp>

#include <random>

namespace coriander {
namespace {

/// News of hosts as the platform's list has them.
peer_message news_of(int rows)
{
    peer_message message;
    message.news = table_delta{"servers", {1, 7}, {1, 9}, {}, {}};
    for (int i = 0; i < rows; ++i) {
        const auto number = std::to_string(i);
        std::string value = R"({"service":"assistant","zone":"gent","domain":"gent-d0","state":"ready",)";
        value += R"("slots":26,"staged":["large"],"group":{"name":"gent-d0-4","epoch":4,"state":"ready"},)";
        value += R"("address":"10.3.64.)";
        value += number;
        value += R"(:8640","born":17000000)";
        value += number;
        value += "}";
        message.news->rows.push_back({"i-4b8dc1" + number, value, {1, 8}});
    }
    message.beats = {{7, 5, 3, 9, true, true, false, true, 0}};
    return message;
}

std::vector<std::uint8_t> sent(const peer_message& message)
{
    return encode_peer_message(pack_message(message));
}

result<peer_message> received(std::span<const std::uint8_t> bytes)
{
    auto message = decode_peer_message(bytes);
    return message ? unpack_message(std::move(message).value()) : std::move(message);
}

} // namespace

TEST_CASE("packed message: rows and manifest arrive as they were sent")
{
    auto message = news_of(40);
    message.config = config_record{};
    message.config->number = 12;
    message.config->toml = std::string(5000, 'r');
    const auto read = received(sent(message));
    REQUIRE(read);
    REQUIRE(read.value().news->rows.size() == 40);
    CHECK(read.value().news->rows[39].value == message.news->rows[39].value);
    CHECK(read.value().news->to == row_version{1, 9});
    CHECK(read.value().config->toml == message.config->toml);
    CHECK(read.value().beats.front().is_strong);
}

TEST_CASE("packed message: news of many hosts take less than a quarter of the bytes")
{
    const auto message = news_of(100);
    CHECK(sent(message).size() * 4 < encode_peer_message(message).size());
}

TEST_CASE("packed message: a small message is sent as it is")
{
    const auto message = pack_message(news_of(1));
    CHECK(message.packed.empty());
    CHECK(message.news->rows.size() == 1);
}

TEST_CASE("packed message: one that claims to be large takes no memory and is refused")
{
    auto message = pack_message(news_of(40));
    message.packed_size = 4'000'000'000U;
    CHECK_FALSE(received(encode_peer_message(message)));
    message.packed_size = 17;
    CHECK_FALSE(received(encode_peer_message(message)));
}

TEST_CASE("packed message: damaged bytes are refused without a crash")
{
    std::mt19937 random{17};
    const auto intact = pack_message(news_of(40));
    for (int i = 0; i < 500; ++i) {
        auto message = intact;
        for (int changes = 0; changes < 3; ++changes) {
            message.packed[random() % message.packed.size()] ^= static_cast<std::uint8_t>(1 + random() % 255);
        }
        message.packed.resize(1 + random() % message.packed.size());
        const auto read = received(encode_peer_message(message));
        CHECK((!read || read.value().news.has_value()));
    }
}

} // namespace coriander

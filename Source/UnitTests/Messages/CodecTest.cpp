/// Round trips of every peer message, and decoding of invalid and corrupted frames.

#include "Messages/Codec.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

using namespace Messages;
using CodecKind = CodecError::Kind;

namespace {

Bytes bytes(std::string text) { return std::make_shared<const std::string>(std::move(text)); }

Answer sampleAnswer()
{
    using namespace std::chrono_literals;
    return { Ports::Outcome::Done, Ports::Reason::AnswerExpired, -7ms, 201, "text/plain", bytes(std::string("a\0b", 3)) };
}

/// One message of each kind with non-default fields, in the order of PeerMessage, then default ones of some kinds.
std::vector<PeerMessage> samples()
{
    using namespace std::chrono_literals;
    const ClaimKey key { "desk", "hotels", "key-1" };
    const LedgerRecord record { key, ~0ULL, 9, "entry-1", true, sampleAnswer() };
    const PoolLoad load { "juniors", 1, 88, ~0U, 1500ms, { { "up-1", 8 }, { "up-2", 0 } } };
    std::vector<PeerMessage> all {
        ForwardRequest { "r1", "book", "t", "urgent", "k", true, 5000ms, "application/json", bytes("body"), 12, "imlil", 2 },
        ForwardAnswer { "r1", sampleAnswer() },
        ForwardCancel { "r1", true },
        ClaimRequest { 4, key, 77, 3 },
        ClaimReply { 4, ClaimVerdict::Full, 3, sampleAnswer() },
        ClaimFinished { key, sampleAnswer() },
        ClaimReleased { key, 4 },
        LedgerHandover { "desk", 5, Common::WallTime(1700000000123ms), { record, record }, true },
        Heartbeat { 1, "asni", 2, 3, 4, true, true, { load, {}, load } },
        ConfigurationRequest { 11 },
        ConfigurationOffer { 12, "change", bytes("{}") },
        AssignmentQuery { 6, { "up-1", "" } },
        AssignmentAnswer { 6, 8, { "up-1" } },
        LedgerQuery { "desk", 5 },
    };
    static_assert(std::variant_size_v<PeerMessage> == 14, "a new message needs a sample");
    all.insert(all.end(), { ForwardRequest {}, ForwardAnswer {}, ClaimReply {}, LedgerHandover {}, Heartbeat {}, ConfigurationOffer {} });
    return all;
}

/// Frame of a heartbeat whose list announces `count` items but has none.
std::string heartbeatWithListLength(char count)
{
    auto frame = encode(Heartbeat {});
    frame.back() = count;
    return frame;
}

std::string corrupted(const std::string& frame, std::mt19937_64& random)
{
    auto copy = frame;
    const auto edits = 1 + random() % 4;
    for (std::uint64_t n = 0; n < edits && !copy.empty(); ++n) {
        const auto at = random() % copy.size();
        switch (random() % 4) {
        case 0:
            copy[at] = static_cast<char>(random());
            break;
        case 1:
            copy.resize(at);
            break;
        case 2:
            copy.insert(at, 1 + random() % 8, static_cast<char>(random()));
            break;
        default:
            copy[at] = static_cast<char>(copy[at] ^ (1 << random() % 8));
        }
    }
    return copy;
}

} // namespace

TEST_CASE("no message loses or changes a field when encoded and decoded")
{
    const auto all = samples();
    REQUIRE(all.size() > std::variant_size_v<PeerMessage>);
    for (const auto& message : all) {
        const auto frame = encode(message);
        const auto decoded = decode(frame);
        REQUIRE(decoded.isOk());
        CHECK(decoded.value().index() == message.index());
        CHECK(encode(decoded.value()) == frame);
    }
    for (std::size_t n = 0; n < std::variant_size_v<PeerMessage>; ++n)
        REQUIRE(all[n].index() == n);
    const auto heartbeat = std::get<Heartbeat>(decode(encode(all[8])).value());
    CHECK(heartbeat.leaving);
    CHECK(heartbeat.loads.at(2).uses.at(0).inFlight == 8);
    CHECK(heartbeat.loads.at(0).expectedWait == std::chrono::milliseconds(1500));
    const auto handover = std::get<LedgerHandover>(decode(encode(all[7])).value());
    CHECK(handover.recordsCompleteSince == std::get<LedgerHandover>(all[7]).recordsCompleteSince);
    CHECK(handover.records.at(1).bodyHash == ~0ULL);
    CHECK(*handover.records.at(1).answer.body == *sampleAnswer().body);
    CHECK(handover.records.at(1).answer.retryAfter == sampleAnswer().retryAfter);
    CHECK(std::get<ForwardAnswer>(decode(encode(ForwardAnswer {})).value()).answer.body == nullptr);
    const auto request = std::get<ForwardRequest>(decode(encode(all[0])).value());
    CHECK(request.homeDataCentre == "imlil");
    CHECK(request.idempotent);
    CHECK(request.hops == 2);
}

TEST_CASE("each kind of invalid frame is rejected with its own error")
{
    const auto kindOf = [](const std::string& frame) { return decode(frame).error().kind(); };
    const auto good = encode(ForwardCancel { "r" });
    CHECK(kindOf("") == CodecKind::Malformed);
    CHECK(kindOf("\x02" + good.substr(1)) == CodecKind::UnknownVersion);
    CHECK(kindOf("\x01\x7f" + good.substr(2)) == CodecKind::UnknownMessage);
    CHECK(kindOf(good + "x") == CodecKind::Malformed);
    CHECK(kindOf(good.substr(0, good.size() - 1)) == CodecKind::Malformed);
    CHECK(kindOf(std::string(maximumFrameBytes + 1, '\x01')) == CodecKind::TooLarge);
    CHECK(kindOf(encode(ForwardCancel { std::string(maximumTextBytes + 1, 'x') })) == CodecKind::WrongField);
    CHECK(kindOf(heartbeatWithListLength(1)) == CodecKind::WrongField);
    CHECK(kindOf("\x01\x02\x91\xc0") == CodecKind::WrongField);
    CHECK(kindOf("\x01\x02\x92\xa1r\xa1r") == CodecKind::WrongField);
    CHECK(kindOf("\x01\x02\x91\x91\xa1r") == CodecKind::Malformed);
    CHECK(kindOf("\x01\x02\x81\xa1r\xa1r") == CodecKind::Malformed);
    CHECK(kindOf("\x01\x02\xdd\xff\xff\xff\xff") == CodecKind::Malformed);
    auto outcome = encode(ForwardAnswer { "", {} });
    outcome[4] = 3;
    CHECK(kindOf(outcome) == CodecKind::WrongField);
}

TEST_CASE("corrupted frames never crash the decoder")
{
    constexpr std::uint64_t seed = 20261204;
    constexpr int rounds = 20000;
    std::mt19937_64 random(seed);
    const auto all = samples();
    int messages = 0;
    int errors = 0;
    for (int n = 0; n < rounds; ++n) {
        const auto frame = corrupted(encode(all[random() % all.size()]), random);
        const auto result = decode(frame);
        if (!result.isOk()) {
            ++errors;
            continue;
        }
        ++messages;
        const auto redecoded = decode(encode(result.value()));
        REQUIRE(redecoded.isOk());
        REQUIRE(encode(redecoded.value()) == encode(result.value()));
    }
    CHECK(messages + errors == rounds);
    CHECK(messages > 0);
    CHECK(errors > 0);
}

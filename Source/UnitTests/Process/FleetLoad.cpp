#include "Process/FleetLoad.h"

#include "Standins/ExecutorStandin.h"

#include <cstdio>
#include <random>
#include <sstream>

namespace ProcessTests {

namespace {

    constexpr std::size_t maximumAttempts = 8;
    constexpr std::chrono::milliseconds retryPause { 100 };
    constexpr std::chrono::milliseconds answerMargin { 2000 }; ///< For which a caller waits after the deadline.

    /// A UUID of version 7 with the current time; unique within this process by the number, and across processes by a random part.
    std::string newKey(unsigned number)
    {
        static const std::uint32_t s_process = std::random_device()();
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        const auto time = static_cast<unsigned long long>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
        char text[64];
        std::snprintf(text, sizeof text, "%08llx-%04llx-7000-8000-%08x%04x", time >> 16, time & 0xffff, s_process, number & 0xffff);
        return text;
    }

} // namespace

TestRequest TestRequest::create(const RequestKind& kind)
{
    static std::atomic<unsigned> s_last { 0 };
    const unsigned number = ++s_last;
    TestRequest request;
    request.m_kind = kind;
    request.m_key = newKey(number);
    request.m_body = R"({"runMs":)" + std::to_string(kind.runMilliseconds) + R"(,"booking":")" + request.m_key + "\"}";
    return request;
}

HttpReply TestRequest::send(const FleetHost& host) const
{
    return post(host.url("/v1/services/" + m_kind.service), m_body,
        { "Marigold-Team: families", "Marigold-Priority: normal", "Marigold-Timeout-Ms: " + std::to_string(m_kind.timeout.count()), "Content-Type: application/json",
            "Connection: close", "Idempotency-Key: \"" + m_key + "\"", std::string("Marigold-Idempotent: ") + (m_kind.idempotent ? "true" : "false") },
        m_kind.timeout + answerMargin);
}

std::string TestRequest::bodyHash() const
{
    return Standins::bodyHash(m_body);
}

bool TestRequest::matches(const HttpReply& reply) const
{
    return reply.done() && reply.body.starts_with("ran ") && reply.body.ends_with(" " + bodyHash() + " " + m_body);
}

FleetLoad::FleetLoad(std::vector<const FleetHost*> hosts, unsigned threads, std::vector<RequestKind> kinds)
    : m_hosts(std::move(hosts))
    , m_kinds(std::move(kinds))
{
    for (unsigned i = 0; i < threads; ++i)
        m_threads.emplace_back([this, i] { run(i); });
}

FleetLoad::~FleetLoad()
{
    stop();
}

void FleetLoad::run(unsigned thread)
{
    for (std::size_t turn = thread; !m_stop; ++turn) {
        RequestRecord record { TestRequest::create(m_kinds[turn % m_kinds.size()]), {} };
        while (record.attempts.size() < maximumAttempts) {
            record.attempts.push_back(record.request.send(*m_hosts[(turn + record.attempts.size()) % m_hosts.size()]));
            if (record.attempts.back().done())
                break;
            m_broken += !record.attempts.back().complete;
            std::this_thread::sleep_for(retryPause);
        }
        const std::lock_guard lock(m_mutex);
        m_records.push_back(std::move(record));
        ++m_answered;
    }
}

std::vector<RequestRecord> FleetLoad::stop()
{
    m_stop = true;
    for (auto& it : m_threads)
        it.join();
    m_threads.clear();
    return std::move(m_records);
}

bool FleetLoad::waitForMore(std::size_t n) const
{
    const std::size_t goal = m_answered + n;
    return eventually([&] { return m_answered >= goal; });
}

std::vector<RequestRecord> sendAtOnce(const std::vector<const FleetHost*>& hosts, const std::vector<RequestKind>& kinds, const std::function<void(const std::vector<TestRequest>&)>& meanwhile)
{
    std::vector<RequestRecord> records;
    records.reserve(kinds.size());
    std::vector<TestRequest> requests;
    requests.reserve(kinds.size());
    for (const auto& it : kinds) {
        requests.push_back(TestRequest::create(it));
        records.push_back({ requests.back(), {} });
    }
    std::vector<std::jthread> threads;
    for (std::size_t i = 0; i < records.size(); ++i)
        threads.emplace_back([&, i] { records[i].attempts.push_back(records[i].request.send(*hosts[i % hosts.size()])); });
    meanwhile(requests);
    threads.clear();
    return records;
}

std::string Tally::text() const
{
    std::ostringstream text;
    text << "done " << done << ", not run " << notRun << ", unknown " << unknown << ", broken attempts " << broken << ", doubled " << doubled
         << ", falsely not run " << falselyNotRun << ", lost " << lost << ", mismatched " << mismatched
         << ", ran before a not-run answer " << ranBeforeNotRun << "; reasons of requests without a result:";
    for (const auto& [reason, n] : reasons)
        text << " " << reason << " " << n;
    return text.str();
}

Tally tally(const std::vector<RequestRecord>& all, const std::map<std::string, std::uint64_t>& runs)
{
    Tally sum;
    for (const auto& record : all) {
        const auto found = runs.find(record.request.bodyHash());
        const std::uint64_t ran = found == runs.end() ? 0 : found->second;
        const auto count = [&](auto member) { return static_cast<std::size_t>(std::count_if(record.attempts.begin(), record.attempts.end(), member)); };
        const bool matched = count([&](const auto& it) { return record.request.matches(it); }) > 0;
        const bool notRun = count([](const auto& it) { return it.notRun(); }) == record.attempts.size();
        sum.done += matched;
        if (!matched)
            ++sum.reasons[(record.request.kind().idempotent ? "idempotent:" : "once:") + (record.attempts.back().complete ? record.attempts.back().reason : "broken")];
        sum.notRun += notRun;
        sum.unknown += !matched && !notRun;
        sum.broken += count([](const auto& it) { return !it.complete; });
        sum.doubled += !record.request.kind().idempotent && ran > 1;
        sum.falselyNotRun += notRun && ran;
        sum.ranBeforeNotRun += !matched && !notRun && record.attempts.back().notRun() && ran;
        sum.lost += matched && !ran;
        sum.mismatched += count([&](const auto& it) { return it.complete && !it.notRun() && !it.unknown() && !record.request.matches(it); });
    }
    return sum;
}

} // namespace ProcessTests

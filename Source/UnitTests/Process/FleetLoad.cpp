#include "Process/FleetLoad.h"

#include "Standins/ExecutorStandin.h"

#include <cstdio>
#include <random>
#include <sstream>

namespace ProcessTests {

namespace {

    constexpr std::size_t maximumTries = 8;
    constexpr std::chrono::milliseconds retryPause { 100 };

    /// A key of version 7 with the time of now, and a number that no other request of this process has.
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

Booking Booking::create(const Question& question)
{
    static std::atomic<unsigned> s_last { 0 };
    const unsigned number = ++s_last;
    Booking booking;
    booking.m_question = question;
    booking.m_key = newKey(number);
    booking.m_body = R"({"runMs":)" + std::to_string(question.runMilliseconds) + R"(,"booking":")" + booking.m_key + "\"}";
    return booking;
}

HttpReply Booking::ask(const FleetHost& host) const
{
    return post(host.url("/v1/services/" + m_question.service), m_body,
        { "Marigold-Team: families", "Marigold-Priority: normal", "Marigold-Timeout-Ms: 4000", "Content-Type: application/json",
            "Connection: close", "Idempotency-Key: \"" + m_key + "\"", std::string("Marigold-Idempotent: ") + (m_question.idempotent ? "true" : "false") });
}

std::string Booking::bodyHash() const
{
    return Standins::bodyHash(m_body);
}

bool Booking::matches(const HttpReply& reply) const
{
    return reply.done() && reply.body.starts_with("ran ") && reply.body.ends_with(" " + bodyHash() + " " + m_body);
}

FleetLoad::FleetLoad(std::vector<const FleetHost*> hosts, unsigned threads, std::vector<Question> questions)
    : m_hosts(std::move(hosts))
    , m_questions(std::move(questions))
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
        Asked asked { Booking::create(m_questions[turn % m_questions.size()]), {} };
        while (asked.tries.size() < maximumTries) {
            asked.tries.push_back(asked.booking.ask(*m_hosts[(turn + asked.tries.size()) % m_hosts.size()]));
            if (asked.tries.back().done())
                break;
            m_broken += !asked.tries.back().whole;
            std::this_thread::sleep_for(retryPause);
        }
        const std::lock_guard lock(m_mutex);
        m_asked.push_back(std::move(asked));
        ++m_answered;
    }
}

std::vector<Asked> FleetLoad::stop()
{
    m_stop = true;
    for (auto& it : m_threads)
        it.join();
    m_threads.clear();
    return std::move(m_asked);
}

bool FleetLoad::more(std::size_t n) const
{
    const std::size_t goal = m_answered + n;
    return eventually([&] { return m_answered >= goal; });
}

std::vector<Asked> askAtOnce(const std::vector<const FleetHost*>& hosts, const std::vector<Question>& questions, const std::function<void()>& meanwhile)
{
    std::vector<Asked> asked;
    asked.reserve(questions.size());
    for (const auto& it : questions)
        asked.push_back({ Booking::create(it), {} });
    std::vector<std::jthread> threads;
    for (std::size_t i = 0; i < asked.size(); ++i)
        threads.emplace_back([&, i] { asked[i].tries.push_back(asked[i].booking.ask(*hosts[i % hosts.size()])); });
    meanwhile();
    threads.clear();
    return asked;
}

std::string Tally::text() const
{
    std::ostringstream text;
    text << "done " << done << ", not run " << notRun << ", unknown " << unknown << ", broken tries " << broken << ", doubled " << doubled
         << ", falsely not run " << falselyNotRun << ", lost " << lost << ", strange " << strange
         << ", ran by an earlier try than a not-run one " << ranBeforeNotRun << "; last reasons without a result:";
    for (const auto& [reason, n] : reasons)
        text << " " << reason << " " << n;
    return text.str();
}

Tally tally(const std::vector<Asked>& all, const std::map<std::string, std::uint64_t>& runs)
{
    Tally sum;
    for (const auto& asked : all) {
        const auto found = runs.find(asked.booking.bodyHash());
        const std::uint64_t ran = found == runs.end() ? 0 : found->second;
        const auto count = [&](auto member) { return static_cast<std::size_t>(std::count_if(asked.tries.begin(), asked.tries.end(), member)); };
        const bool matched = count([&](const auto& it) { return asked.booking.matches(it); }) > 0;
        const bool notRun = count([](const auto& it) { return it.notRun(); }) == asked.tries.size();
        sum.done += matched;
        if (!matched)
            ++sum.reasons[(asked.booking.question().idempotent ? "idempotent:" : "once:") + (asked.tries.back().whole ? asked.tries.back().reason : "broken")];
        sum.notRun += notRun;
        sum.unknown += !matched && !notRun;
        sum.broken += count([](const auto& it) { return !it.whole; });
        sum.doubled += !asked.booking.question().idempotent && ran > 1;
        sum.falselyNotRun += notRun && ran;
        sum.ranBeforeNotRun += !matched && !notRun && asked.tries.back().notRun() && ran;
        sum.lost += matched && !ran;
        sum.strange += count([&](const auto& it) { return it.whole && !it.notRun() && !it.unknown() && !asked.booking.matches(it); });
    }
    return sum;
}

} // namespace ProcessTests

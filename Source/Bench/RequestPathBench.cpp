/// path_bench: measures the latency that an entry host adds to a call, compared with direct calls to the upstream in
/// the same run. Prints one JSON line per figure. Every caller calls its targets in turn.
/// Usage: path_bench DIRECT_URL[,DIRECT_URL...] HOST_URL[,HOST_URL...]

#include <curl/curl.h>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace {

constexpr unsigned callers = 8; ///< Half of the pool's sixteen slots.
constexpr unsigned warmUpRounds = 30;
constexpr unsigned measuredRounds = 300;
constexpr long httpOk = 200;

/// Calls to one target. Latencies are in milliseconds, of successful calls only.
struct Samples {
    std::vector<double> latencies;
    unsigned failed = 0;
};

std::vector<std::string> split(const std::string& text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');)
        parts.push_back(part);
    return parts;
}

/// A caller with a persistent connection to one target.
class Caller {
public:
    Caller(const std::string& url, unsigned number)
        : m_curl(curl_easy_init(), curl_easy_cleanup)
        , m_prefix("path-" + std::to_string(number) + "-")
        , m_headers(nullptr, curl_slist_free_all)
    {
        curl_easy_setopt(m_curl.get(), CURLOPT_URL, url.c_str());
        curl_easy_setopt(m_curl.get(), CURLOPT_POSTFIELDS, "{}");
        curl_easy_setopt(m_curl.get(), CURLOPT_TCP_NODELAY, 1L);
        curl_easy_setopt(m_curl.get(), CURLOPT_WRITEFUNCTION, discard);
    }

    void call(Samples* samples)
    {
        curl_slist* list = nullptr;
        const auto id = "Marigold-Request-Id: " + m_prefix + std::to_string(m_calls++);
        for (const char* header : { "Marigold-Team: instructors", "Marigold-Priority: urgent", "Marigold-Idempotent: true", "Connection: Keep-Alive", id.c_str() })
            list = curl_slist_append(list, header);
        m_headers.reset(list);
        curl_easy_setopt(m_curl.get(), CURLOPT_HTTPHEADER, list);
        const auto begin = std::chrono::steady_clock::now();
        const auto code = curl_easy_perform(m_curl.get());
        const std::chrono::duration<double, std::milli> latency = std::chrono::steady_clock::now() - begin;
        long status = 0;
        curl_easy_getinfo(m_curl.get(), CURLINFO_RESPONSE_CODE, &status);
        if (!samples)
            return;
        if (code == CURLE_OK && status == httpOk)
            samples->latencies.push_back(latency.count());
        else
            ++samples->failed;
    }

private:
    static std::size_t discard(char*, std::size_t size, std::size_t count, void*) { return size * count; }

    std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> m_curl;
    std::string m_prefix;
    std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)> m_headers;
    unsigned m_calls = 0;
};

/// Calls one direct target and every host in turn. The result has one entry per target, the direct one first.
std::vector<Samples> runCaller(unsigned number, const std::vector<std::string>& direct, const std::vector<std::string>& hosts)
{
    std::vector<std::string> targets { direct[number % direct.size()] };
    targets.insert(targets.end(), hosts.begin(), hosts.end());
    std::vector<std::unique_ptr<Caller>> clients;
    for (std::size_t n = 0; n < targets.size(); ++n)
        clients.push_back(std::make_unique<Caller>(targets[n], number * static_cast<unsigned>(targets.size()) + static_cast<unsigned>(n)));
    std::vector<Samples> samples(targets.size());
    for (unsigned round = 0; round < warmUpRounds + measuredRounds; ++round) {
        for (std::size_t n = 0; n < clients.size(); ++n)
            clients[n]->call(round < warmUpRounds ? nullptr : &samples[n]);
    }
    return samples;
}

double percentile(const std::vector<double>& sorted, double share)
{
    return sorted.empty() ? 0 : sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
}

void print(const std::string& name, double value, const char* unit)
{
    std::cout << R"({"name":"path.)" << name << R"(","value":)" << value << R"(,"unit":")" << unit << "\"}\n";
}

void printTarget(const std::string& name, const Samples& samples)
{
    print(name + ".p50", percentile(samples.latencies, 0.5), "milliseconds");
    print(name + ".p99", percentile(samples.latencies, 0.99), "milliseconds");
    print(name + ".failed", samples.failed, "calls");
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 3) {
        std::cerr << "usage: path_bench DIRECT_URLS HOST_URLS\n";
        return 2;
    }
    curl_global_init(CURL_GLOBAL_DEFAULT);
    const auto direct = split(argv[1]);
    const auto hosts = split(argv[2]);
    std::vector<std::vector<Samples>> results(callers);
    std::vector<std::thread> threads;
    for (unsigned n = 0; n < callers; ++n)
        threads.emplace_back([&, n] { results[n] = runCaller(n, direct, hosts); });
    for (auto& thread : threads)
        thread.join();
    std::vector<Samples> totals(hosts.size() + 1);
    for (const auto& result : results) {
        for (std::size_t n = 0; n < totals.size(); ++n) {
            totals[n].latencies.insert(totals[n].latencies.end(), result[n].latencies.begin(), result[n].latencies.end());
            totals[n].failed += result[n].failed;
        }
    }
    double worst = 0;
    for (std::size_t n = 0; n < totals.size(); ++n) {
        std::sort(totals[n].latencies.begin(), totals[n].latencies.end());
        printTarget(n == 0 ? "direct" : "host" + std::to_string(n), totals[n]);
        worst = std::max(worst, percentile(totals[n].latencies, 0.99) - percentile(totals.front().latencies, 0.99));
    }
    print("addedP99", worst, "milliseconds");
    return 0;
}

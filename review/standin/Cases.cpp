#include "Cases.h"

#include <array>
#include <map>
#include <set>
#include <utility>

namespace Review {

namespace {

    constexpr milliseconds submitInterval { 100 };
    constexpr std::int64_t taskMilliCores = 1000;
    constexpr milliseconds restartTime { 100 }; ///< Of an executor's process under its id.

    /// Submits jobs at a constant rate.
    class LoadedTrial : public Trial {
    public:
        using Trial::Trial;

    protected:
        void submitFor(milliseconds length, milliseconds limit)
        {
            if (length.count() <= 0) {
                awaitJobs(limit);
                return;
            }
            submit(m_tasks, m_length, taskMilliCores);
            after(submitInterval, [this, length, limit] { submitFor(length - submitInterval, limit); });
        }

        unsigned m_tasks = 4; ///< Of each job.
        milliseconds m_length { 300 }; ///< Of each task.

        /// The executor of which that number is the largest.
        template<typename Number>
        std::size_t mostOf(Number number)
        {
            std::size_t best = 0;
            for (std::size_t n = 1; n < executorCount(); ++n)
                best = number(executor(n)) > number(executor(best)) ? n : best;
            return best;
        }

        void takeStoreDown(milliseconds length)
        {
            platform().setDown(true);
            after(length, [this] { platform().setDown(false); });
        }
    };

    /// An executor's process restarts while the ends that it has listed wait for the store.
    class StaleAcknowledgement final : public LoadedTrial {
    public:
        using LoadedTrial::LoadedTrial;

    private:
        void begin() override
        {
            constexpr milliseconds load { 40000 };
            constexpr milliseconds outageAt { 12000 };
            const milliseconds outage { 4500 };
            constexpr milliseconds crashAfter { 400 };
            const milliseconds limit { 40000 };
            submitFor(load, limit);
            if (!isTroubled())
                return;
            after(outageAt, [this, outage] { takeStoreDown(outage); });
            after(outageAt + crashAfter, [this] { crash(mostOf([](const Executor& it) { return it.ends(); }), restartTime); });
        }
    };

    /// A queue is removed from the configuration while it has a job, and the hosts are restarted in turn.
    class RetiredQueue final : public Trial {
    public:
        using Trial::Trial;

    private:
        void begin() override
        {
            constexpr unsigned tasks = 4;
            constexpr milliseconds length { 4000 };
            constexpr std::size_t steps = 3;
            constexpr milliseconds removal { 1500 };
            constexpr milliseconds restart { 4000 };
            constexpr milliseconds traffic { 30000 };
            submitSteps(steps, tasks, length, taskMilliCores);
            if (hasTrouble("removal"))
                after(removal, [this] { removeSecondQueue(); });
            if (hasTrouble("restart"))
                after(restart, [this] { restartHosts(); });
            after(traffic + finishTime, [this] { check(runsNeeded); });
        }

        /// `finish_s` after the end of the traffic.
        void check(unsigned needed)
        {
            constexpr milliseconds idleTime { 3000 };
            const auto done = ledger().done();
            const auto starts = ledger().starts();
            const auto running = ledger().running();
            after(idleTime, [this, needed, done, starts, running] {
                if (done < needed && running == 0 && ledger().running() == 0 && ledger().starts() == starts)
                    record().violate("LOST", std::to_string(needed - done) + " of the accepted job's " + std::to_string(needed) + " tasks aren't done, and for 3 s it has nothing running, while the executors of its service are idle");
                finish(done < needed && record().violations().empty() ? "the job isn't done, but runs" : "");
            });
        }

        static constexpr unsigned runsNeeded = 12; ///< Tasks of the job.
        static constexpr milliseconds finishTime { 14000 };
    };

    /// A queue's route is removed and added again, to another service, while the queue has a job. The job's submission arrives once more, as
    /// it sometimes does.
    class MovedQueue final : public Trial {
    public:
        using Trial::Trial;

    private:
        void begin() override
        {
            constexpr unsigned tasks = 4;
            constexpr milliseconds length { 4000 };
            constexpr std::size_t steps = 3;
            constexpr milliseconds change { 1000 };
            constexpr milliseconds pause { 500 };
            constexpr milliseconds again { 4000 };
            const milliseconds limit { 40000 };
            submitSteps(steps, tasks, length, taskMilliCores);
            if (isTroubled()) {
                after(change, [this] { removeSecondQueue(); });
                after(change + pause, [this] { addSecondQueueToFirstService(); });
            }
            after(again, [this] { submitOnceMore(); });
            after(change, [this, limit] { awaitJobs(limit); });
        }

        void onUnknown(const Job& job, milliseconds sinceAcceptance) override
        {
            constexpr milliseconds visibleTime { 3000 };
            if (sinceAcceptance > visibleTime && !std::exchange(m_isReported, true))
                record().violate("LOST", "a GET for the accepted job " + job.id + " is answered 410, " + std::to_string(sinceAcceptance.count()) + " ms after its confirmation");
        }

        bool m_isReported = false;
    };

    /// More runs end on an executor than it lists at once, while the store is down.
    class ManyEnds final : public LoadedTrial {
    public:
        using LoadedTrial::LoadedTrial;

    private:
        void begin() override
        {
            constexpr milliseconds outageAt { 2500 };
            const milliseconds outage { 4500 };
            const milliseconds limit { 60000 };
            submitSmall(smallJobs);
            after(outageAt + outage, [this, limit] { awaitJobs(limit); });
            if (isTroubled())
                after(outageAt, [this, outage] { takeStoreDown(outage); });
        }

        /// Small tasks, of which one executor runs a thousand.
        void submitSmall(int left)
        {
            constexpr milliseconds interval { 50 };
            constexpr unsigned tasks = 40;
            constexpr milliseconds length { 3000 };
            constexpr std::int64_t milliCores = 5;
            if (left == 0)
                return;
            submit(tasks, length, milliCores);
            after(interval, [this, left] { submitSmall(left - 1); });
        }

        static constexpr int smallJobs = 30;
    };

    /// Executors that run a task of a lasting job crash one after the other.
    class GivenUp final : public Trial {
    public:
        using Trial::Trial;

    private:
        void begin() override
        {
            constexpr milliseconds load { 20000 };
            for (std::size_t n = 0; n < executorCount(); ++n) {
                executor(n).onStarted = [this, n](const std::string& task) { m_places[task] = n; };
                executor(n).onStopped = [this](const std::string& task) { onStopped(task); };
            }
            submitLasting(tasks, mayMiss, taskMilliCores);
            for (int n = 1; n <= crashes && isTroubled(); ++n)
                after(crashInterval * n, [this] { crashFirst(); });
            after(load, [this] { finish(); });
            showRepeatedly();
        }

        /// Crashes the executor that runs the job's first task; its machine has another one a while later.
        void crashFirst()
        {
            constexpr milliseconds pause { 1500 };
            const auto it = m_places.begin();
            if (it != m_places.end())
                crash(it->second, pause, "w" + std::to_string(it->second) + "-" + std::to_string(++m_crashes));
        }

        void onStopped(const std::string& task)
        {
            m_stopped.insert(task);
            if (m_stopped.size() > mayMiss)
                record().violate("AVAIL", task + " is ended by a stop, while " + std::to_string(m_stopped.size() - 1) + " others of its step are away by one, and " + std::to_string(mayMiss) + " may be");
        }

        void onShown(const Job& job) override
        {
            if (job.state == "failed" && ledger().failures(job.id) == 0 && !std::exchange(m_isShownFailed, true))
                record().write("job " + job.id + " is shown as failed, and none of its runs has ended as failed");
        }

        static constexpr int crashes = 6;
        static constexpr milliseconds crashInterval { 2500 };
        static constexpr unsigned tasks = 6;
        static constexpr unsigned mayMiss = 1;
        std::map<std::string, std::size_t> m_places; ///< By task, the executor that started it last.
        std::set<std::string> m_stopped;
        bool m_isShownFailed = false;
        int m_crashes = 0;
    };

    template<typename Case>
    std::unique_ptr<Trial> make(const TrialSettings& settings) { return std::make_unique<Case>(settings); }

    struct NamedCase {
        const char* name;
        std::unique_ptr<Trial> (*make)(const TrialSettings&);
    };
    constexpr std::array<NamedCase, 5> cases { { { "retired-queue", make<RetiredQueue> }, { "moved-queue", make<MovedQueue> }, { "many-ends", make<ManyEnds> }, { "stale-acknowledgement", make<StaleAcknowledgement> }, { "given-up", make<GivenUp> } } };

} // namespace

std::unique_ptr<Trial> makeCase(const std::string& name, const TrialSettings& settings)
{
    for (const auto& it : cases) {
        if (name == it.name)
            return it.make(settings);
    }
    return nullptr;
}

} // namespace Review

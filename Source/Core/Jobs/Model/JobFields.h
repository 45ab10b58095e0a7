#pragma once

/// Lists the fields of job structures in the order in which they are stored and sent; see Messages/FlatCodec.h.

#include "Jobs/Model/JobRecords.h"
#include "Messages/Fields.h"

namespace Jobs {

using Messages::MaybeConst;

template<typename V, MaybeConst<Resources> M>
void visitFields(V& v, M& m)
{
    v(m.milliCores, m.memoryMb, m.accelerators);
}

template<typename V, MaybeConst<StepSpec> M>
void visitFields(V& v, M& m)
{
    v(m.taskCount, m.need, m.estimate, m.after, m.checkpoints, m.isGang, m.sameRack, m.isSpeculative, m.isLasting, m.isFiller);
    v(m.requiredLabel, m.dataRack, m.image, m.maximumPerWorker, m.maximumUnavailable, m.targetLatency);
}

template<typename V, MaybeConst<JobSpec> M>
void visitFields(V& v, M& m)
{
    v(m.payload, m.steps, m.repeatCount, m.firstRun, m.interval);
}

template<typename V, MaybeConst<TaskKey> M>
void visitFields(V& v, M& m)
{
    v(m.job, m.occurrence, m.step, m.index);
}

template<typename V, MaybeConst<JobAccepted> M>
void visitFields(V& v, M& m)
{
    v(m.job, m.queue, m.priority, m.maximumAttempts, m.objective, m.acceptedAt, m.spec);
}

template<typename V, MaybeConst<JobCancelled> M>
void visitFields(V& v, M& m)
{
    v(m.job, m.at);
}

template<typename V, MaybeConst<RunStarted> M>
void visitFields(V& v, M& m)
{
    v(m.task, m.run, m.worker);
}

template<typename V, MaybeConst<RunEnded> M>
void visitFields(V& v, M& m)
{
    v(m.task, m.run, m.how, m.checkpoint, m.at);
}

template<typename V, MaybeConst<CrashTally> M>
void visitFields(V& v, M& m)
{
    v(m.unexplained, m.suspected, m.sinceProven);
}

template<typename V, MaybeConst<TaskSuspected> M>
void visitFields(V& v, M& m)
{
    v(m.task, m.tally);
}

template<typename V, MaybeConst<SuspicionGraded> M>
void visitFields(V& v, M& m)
{
    v(m.task, m.isDoubtful, m.isLikely);
}

template<typename V, MaybeConst<CrashAgesLearnt> M>
void visitFields(V& v, M& m)
{
    v(m.ages, m.at);
}

template<typename V, MaybeConst<CrashesUnconfirmed> M>
void visitFields(V& v, M& m)
{
    v(m.task, m.count);
}

template<typename V, MaybeConst<TaskConfined> M>
void visitFields(V& v, M& m)
{
    v(m.task, m.isConfined);
}

template<typename V, MaybeConst<SourceCrashesLearnt> M>
void visitFields(V& v, M& m)
{
    v(m.queue, m.client, m.crashesPermille, m.outlivedPermille, m.isBounded, m.at);
}

template<typename V, MaybeConst<TasksDone> M>
void visitFields(V& v, M& m)
{
    v(m.first, m.count);
}

template<typename V, MaybeConst<CrashCounted> M>
void visitFields(V& v, M& m)
{
    v(m.task, m.run);
}

template<typename V, MaybeConst<OccurrencesDone> M>
void visitFields(V& v, M& m)
{
    v(m.job, m.first, m.count);
}

template<typename V, MaybeConst<JobFinished> M>
void visitFields(V& v, M& m)
{
    v(m.job, m.queue, m.state, m.at);
}

} // namespace Jobs

package org.chervillift.core.claims;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.chervillift.api.Checks;
import org.chervillift.core.claims.ClaimAction.Completion;
import org.chervillift.core.claims.ClaimGroup.PendingClaim;
import org.chervillift.core.claims.ClaimGroup.Phase;

/**
 * Groups the claims of one entry VM into few transactions and tracks each transaction until its
 * outcome is known.
 *
 * <p>A transaction without a reply is sent again with the same idempotency token until its outcome
 * is known, so a lost reply never leaves it unclear who holds a claim. Not thread-safe: confined to
 * one thread.
 */
public final class ClaimCommitter {

    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    private static final Duration EXPIRY_CHECK_INTERVAL = Duration.ofMillis(5);
    private static final int FAILURES_UNTIL_REFUSAL = 2;

    private final ClaimSettings settings;
    private final String entryVm;
    private final Deque<PendingClaim> unsentClaims = new ArrayDeque<>();
    private final Deque<Completion> unsentCompletions = new ArrayDeque<>();
    private final Map<ClaimKey, PendingClaim> pendingByKey = new HashMap<>();
    private final Map<Long, ClaimGroup> groupsInFlight = new LinkedHashMap<>();
    private int liveEntryVms = 1;
    private int consecutiveFailures;
    private long nextGroupNumber = 1;
    private Instant nextCommitAt = Instant.MIN;
    private Instant nextExpiryCheckAt = Instant.MIN;
    private boolean lastGroupWasCompletions;

    /** Creates a committer without pending claims. */
    public ClaimCommitter(ClaimSettings settings, String entryVm) {
        this.settings = Checks.notNull("settings", settings);
        this.entryVm = Checks.notBlank("entryVm", entryVm);
    }

    /** Sets how many live entry VMs share the transaction rate of the fleet. */
    public void setLiveEntryVms(int count) {
        liveEntryVms = Math.max(1, count);
    }

    /** Returns whether nothing waits to be sent and no transaction is in flight. */
    public boolean isIdle() {
        return unsentClaims.isEmpty() && unsentCompletions.isEmpty() && groupsInFlight.isEmpty();
    }

    /** Returns how many requests wait for the answer to their claim. */
    public int pendingCount() {
        return pendingByKey.size();
    }

    /**
     * Requests a claim.
     *
     * @param correlationId the number that the reply carries
     * @param replyDeadline when the request stops waiting and is answered with {@link
     *     ClaimAnswer.Unavailable}
     */
    public List<ClaimAction> requestClaim(
            long correlationId, ClaimKey key, String digest, Instant replyDeadline, Instant now) {
        PendingClaim earlier = pendingByKey.get(key);
        if (earlier != null) {
            return List.of(reply(correlationId, answerForPending(earlier, digest)));
        }
        if (pendingByKey.size() >= settings.mostWaiting()
                || consecutiveFailures >= FAILURES_UNTIL_REFUSAL) {
            return List.of(reply(correlationId, new ClaimAnswer.Unavailable()));
        }
        PendingClaim pending =
                new PendingClaim(
                        correlationId, new Claim(key, digest, entryVm, now), replyDeadline);
        pendingByKey.put(key, pending);
        unsentClaims.add(pending);
        return tick(now);
    }

    /**
     * Records the completion of a claimed request.
     *
     * @param outcome the outcome to store, or empty to release the claim
     */
    public List<ClaimAction> complete(Claim claim, Optional<ClaimOutcome> outcome, Instant now) {
        unsentCompletions.add(new Completion(claim, outcome));
        return tick(now);
    }

    /** Handles that the transaction of a group was committed. */
    public List<ClaimAction> onCommitted(long groupNumber, Instant now) {
        ClaimGroup group = removeGroup(groupNumber);
        if (group == null) {
            return List.of();
        }
        List<ClaimAction> actions = new ArrayList<>();
        for (PendingClaim pending : group.pendingClaims()) {
            if (pending.isAbandoned() || now.isAfter(pending.replyDeadline())) {
                abandonAndRemove(pending, actions);
                unsentCompletions.add(new Completion(pending.claim(), Optional.empty()));
            } else {
                removePending(pending);
                actions.add(
                        new ClaimAction.Reply(
                                pending.correlationId(),
                                new ClaimAnswer.Granted(),
                                Optional.of(pending.claim())));
            }
        }
        actions.addAll(tick(now));
        return actions;
    }

    /** Handles that the transaction of a group wrote nothing because a row already existed. */
    public List<ClaimAction> onConflict(long groupNumber, Instant now) {
        ClaimGroup group = groupsInFlight.get(groupNumber);
        if (group == null) {
            return List.of();
        }
        consecutiveFailures = 0;
        group.startReading();
        return List.of(new ClaimAction.ReadClaims(groupNumber, group.claims()));
    }

    /** Handles the stored claims that were read for a group after a conflict. */
    public List<ClaimAction> onClaimsRead(
            long groupNumber, Collection<StoredClaim> found, Instant now) {
        ClaimGroup group = removeGroup(groupNumber);
        if (group == null) {
            return List.of();
        }
        Map<ClaimKey, StoredClaim> byKey =
                found.stream()
                        .collect(
                                Collectors.toMap(
                                        s -> s.claim().key(), Function.identity(), (a, b) -> a));
        List<ClaimAction> actions = new ArrayList<>();
        for (PendingClaim pending : group.pendingClaims()) {
            StoredClaim stored = byKey.get(pending.claim().key());
            if (pending.isAbandoned()) {
                removePending(pending);
            } else if (stored == null) {
                unsentClaims.addFirst(pending);
            } else {
                removePending(pending);
                actions.add(reply(pending.correlationId(), answerForStored(stored, pending, now)));
            }
        }
        actions.addAll(tick(now));
        return actions;
    }

    /** Handles that a transaction or a read of a group got no reply. */
    public List<ClaimAction> onNoReply(long groupNumber, Instant now) {
        ClaimGroup group = groupsInFlight.get(groupNumber);
        if (group == null) {
            return List.of();
        }
        consecutiveFailures++;
        group.scheduleResend(now.plus(settings.resendDelay()));
        return tick(now);
    }

    /** Answers requests whose reply deadline has passed and sends the transactions that are due. */
    public List<ClaimAction> tick(Instant now) {
        List<ClaimAction> actions = new ArrayList<>();
        dropExpired(actions, now);
        while (!now.isBefore(nextCommitAt)) {
            Optional<ClaimAction> commit = nextDueAction(now);
            if (commit.isEmpty()) {
                break;
            }
            actions.add(commit.get());
            nextCommitAt = now.plus(settings.commitInterval(liveEntryVms));
        }
        return actions;
    }

    private Optional<ClaimAction> nextDueAction(Instant now) {
        for (ClaimGroup group : groupsInFlight.values()) {
            if (group.isDue(now)) {
                group.markSent();
                return Optional.of(group.action());
            }
        }
        if (groupsInFlight.size() >= settings.mostInFlight()) {
            return Optional.empty();
        }
        boolean sendCompletions =
                !unsentCompletions.isEmpty()
                        && (unsentClaims.isEmpty() || !lastGroupWasCompletions);
        lastGroupWasCompletions = sendCompletions;
        if (sendCompletions) {
            return Optional.of(
                    addInFlight(
                            ClaimGroup.ofCompletions(
                                    nextGroupNumber++, drainGroup(unsentCompletions), now)));
        }
        if (!unsentClaims.isEmpty()) {
            return Optional.of(
                    addInFlight(
                            ClaimGroup.ofClaims(nextGroupNumber++, drainGroup(unsentClaims), now)));
        }
        return Optional.empty();
    }

    private ClaimAction addInFlight(ClaimGroup group) {
        groupsInFlight.put(group.number(), group);
        return group.action();
    }

    private <T> List<T> drainGroup(Deque<T> queue) {
        List<T> taken = new ArrayList<>();
        while (!queue.isEmpty() && taken.size() < settings.mostInGroup()) {
            taken.add(queue.poll());
        }
        return taken;
    }

    private void dropExpired(List<ClaimAction> actions, Instant now) {
        if (now.isBefore(nextExpiryCheckAt)) {
            return;
        }
        nextExpiryCheckAt = now.plus(EXPIRY_CHECK_INTERVAL);
        dropExpiredUnsent(actions, now);
        dropExpiredGroups(actions, now);
    }

    private void dropExpiredUnsent(List<ClaimAction> actions, Instant now) {
        Iterator<PendingClaim> claims = unsentClaims.iterator();
        while (claims.hasNext()) {
            PendingClaim pending = claims.next();
            if (now.isAfter(pending.replyDeadline())) {
                claims.remove();
                abandonAndRemove(pending, actions);
            }
        }
    }

    private void dropExpiredGroups(List<ClaimAction> actions, Instant now) {
        Iterator<ClaimGroup> groups = groupsInFlight.values().iterator();
        while (groups.hasNext()) {
            ClaimGroup group = groups.next();
            group.pendingClaims().stream()
                    .filter(p -> !p.isAbandoned() && now.isAfter(p.replyDeadline()))
                    .forEach(p -> abandon(p, actions));
            if (group.phase() == Phase.AWAITING_RESEND
                    && now.isAfter(group.createdAt().plus(settings.maxRunTime()))) {
                group.pendingClaims().forEach(this::removePending);
                groups.remove();
            }
        }
    }

    /** Answers the request, but leaves its key pending: the claim may have been committed. */
    private void abandon(PendingClaim pending, List<ClaimAction> actions) {
        pending.abandon();
        actions.add(reply(pending.correlationId(), new ClaimAnswer.Unavailable()));
    }

    private void abandonAndRemove(PendingClaim pending, List<ClaimAction> actions) {
        removePending(pending);
        if (!pending.isAbandoned()) {
            abandon(pending, actions);
        }
    }

    private void removePending(PendingClaim pending) {
        pendingByKey.remove(pending.claim().key(), pending);
    }

    private ClaimGroup removeGroup(long groupNumber) {
        ClaimGroup group = groupsInFlight.remove(groupNumber);
        if (group != null) {
            consecutiveFailures = 0;
        }
        return group;
    }

    private static ClaimAnswer answerForPending(PendingClaim earlier, String digest) {
        return earlier.claim().digest().equals(digest)
                ? new ClaimAnswer.NotCompleted(Optional.of(RETRY_AFTER))
                : new ClaimAnswer.ContentMismatch();
    }

    private ClaimAnswer answerForStored(StoredClaim stored, PendingClaim pending, Instant now) {
        if (!stored.claim().digest().equals(pending.claim().digest())) {
            return new ClaimAnswer.ContentMismatch();
        }
        if (stored.outcome().isPresent()) {
            return new ClaimAnswer.AlreadyCompleted(stored.outcome().get());
        }
        Instant runTimeEnd = stored.claim().at().plus(settings.maxRunTime());
        return new ClaimAnswer.NotCompleted(
                now.isBefore(runTimeEnd) ? Optional.of(RETRY_AFTER) : Optional.empty());
    }

    private static ClaimAction.Reply reply(long correlationId, ClaimAnswer answer) {
        return new ClaimAction.Reply(correlationId, answer, Optional.empty());
    }
}

package org.chervillift.core.routing;

import java.time.Instant;
import java.util.PriorityQueue;

/** The state of one upstream in the router. Not thread-safe. */
final class UpstreamState {

    private final RoutingSettings settings;
    private final UpstreamHealth health;
    private final PriorityQueue<Instant> lostSlotExpiries = new PriorityQueue<>();
    private Upstream upstream;
    private int slotShare;
    private int targetSlotShare;
    private Instant growsAt = Instant.MAX;
    private boolean listed = true;
    private int inFlight;
    private Instant busyUntil = Instant.MIN;
    private Instant leavingUntil = Instant.MIN;

    UpstreamState(Upstream upstream, RoutingSettings settings) {
        this.upstream = upstream;
        this.settings = settings;
        this.health = new UpstreamHealth(settings);
    }

    Upstream upstream() {
        return upstream;
    }

    UpstreamHealth health() {
        return health;
    }

    /** Applies a smaller share at once, and a larger one after the delay for added slots. */
    void update(Upstream updated, int newShare, Instant now) {
        if (upstream.leaving() && !updated.leaving()) {
            leavingUntil = Instant.MIN;
        }
        upstream = updated;
        listed = true;
        if (newShare <= slots(now)) {
            slotShare = newShare;
            growsAt = Instant.MAX;
        } else if (newShare > targetSlotShare || growsAt.equals(Instant.MAX)) {
            growsAt = now.plus(settings.addedSlotDelay());
        }
        targetSlotShare = newShare;
    }

    /** Applies a share at once, for an entry VM that has had no share before. */
    void setInitialShare(int newShare) {
        slotShare = newShare;
        targetSlotShare = newShare;
    }

    /** Marks the upstream as not listed any more; its running requests still count. */
    UpstreamState delisted() {
        slotShare = 0;
        targetSlotShare = 0;
        growsAt = Instant.MAX;
        listed = false;
        return this;
    }

    boolean isListed() {
        return listed;
    }

    boolean isLeaving(Instant now) {
        return upstream.leaving() || now.isBefore(leavingUntil);
    }

    boolean acceptsRequests(Instant now) {
        return !isLeaving(now) && health.acceptsRequests(now);
    }

    boolean hasFreeSlot(Instant now) {
        return acceptsRequests(now) && !now.isBefore(busyUntil) && slotsTaken(now) < slots(now);
    }

    /** Returns the slots of this entry VM that are in use. */
    int slotsTaken(Instant now) {
        while (!lostSlotExpiries.isEmpty() && !now.isBefore(lostSlotExpiries.peek())) {
            lostSlotExpiries.poll();
        }
        return inFlight + lostSlotExpiries.size();
    }

    int slots(Instant now) {
        if (!now.isBefore(growsAt)) {
            slotShare = targetSlotShare;
            growsAt = Instant.MAX;
        }
        return slotShare;
    }

    void requestStarted() {
        inFlight++;
        health.requestStarted();
    }

    void requestEnded() {
        inFlight--;
    }

    void responseLost(Instant slotUntil) {
        lostSlotExpiries.add(slotUntil);
    }

    void markBusy(Instant now) {
        busyUntil = now.plus(settings.busyBackoff());
        health.requestNotRun();
    }

    void markLeaving(Instant now) {
        leavingUntil = now.plus(settings.leavingTimeout());
        health.requestNotRun();
    }
}

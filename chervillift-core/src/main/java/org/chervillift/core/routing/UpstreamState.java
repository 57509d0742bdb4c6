package org.chervillift.core.routing;

import java.time.Instant;
import java.util.PriorityQueue;

/** What the router keeps of one upstream. Confined to one thread. */
final class UpstreamState {

    private final RoutingSettings settings;
    private final UpstreamHealth health;
    private final PriorityQueue<Instant> lostSlotExpiries = new PriorityQueue<>();
    private Upstream upstream;
    private int slotShare;
    private int newSlotShare;
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

    /** Takes a smaller part over at once, and a larger one after the hold. */
    void update(Upstream newer, int newPart, Instant now) {
        if (upstream.leaving() && !newer.leaving()) {
            leavingUntil = Instant.MIN;
        }
        upstream = newer;
        listed = true;
        if (newPart <= slots(now)) {
            slotShare = newPart;
            growsAt = Instant.MAX;
        } else if (newPart > newSlotShare || growsAt.equals(Instant.MAX)) {
            growsAt = now.plus(settings.addedSlotDelay());
        }
        newSlotShare = newPart;
    }

    /** Takes a part over at once, for an entry VM that has held nothing yet. */
    void setInitialShare(int newPart) {
        slotShare = newPart;
        newSlotShare = newPart;
    }

    /** Keeps count of what still runs at an upstream that the list no longer shows. */
    UpstreamState delisted() {
        slotShare = 0;
        newSlotShare = 0;
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

    /** Returns the slots of this entry VM that are taken. */
    int slotsTaken(Instant now) {
        while (!lostSlotExpiries.isEmpty() && !now.isBefore(lostSlotExpiries.peek())) {
            lostSlotExpiries.poll();
        }
        return inFlight + lostSlotExpiries.size();
    }

    int slots(Instant now) {
        if (!now.isBefore(growsAt)) {
            slotShare = newSlotShare;
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

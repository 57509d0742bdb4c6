package org.chervillift.core.routing;

import java.time.Instant;
import java.util.PriorityQueue;

/** What the router keeps of one upstream. Confined to one thread. */
final class Node {

    private final RoutingSettings settings;
    private final Health health;
    private final PriorityQueue<Instant> lostSlots = new PriorityQueue<>();
    private Upstream upstream;
    private int part;
    private int grownPart;
    private Instant grownAt = Instant.MAX;
    private boolean listed = true;
    private int inFlight;
    private Instant busyUntil = Instant.MIN;
    private Instant leavingUntil = Instant.MIN;

    Node(Upstream upstream, RoutingSettings settings) {
        this.upstream = upstream;
        this.settings = settings;
        this.health = new Health(settings);
    }

    Upstream upstream() {
        return upstream;
    }

    Health health() {
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
            part = newPart;
            grownAt = Instant.MAX;
        } else if (newPart > grownPart || grownAt.equals(Instant.MAX)) {
            grownAt = now.plus(settings.slotHold());
        }
        grownPart = newPart;
    }

    /** Takes a part over at once, for an entry VM that has held nothing yet. */
    void startWith(int newPart) {
        part = newPart;
        grownPart = newPart;
    }

    /** Keeps count of what still runs at an upstream that the list no longer shows. */
    Node withoutPart() {
        part = 0;
        grownPart = 0;
        grownAt = Instant.MAX;
        listed = false;
        return this;
    }

    boolean isListed() {
        return listed;
    }

    boolean isLeaving(Instant now) {
        return upstream.leaving() || now.isBefore(leavingUntil);
    }

    boolean takesWork(Instant now) {
        return !isLeaving(now) && health.takesWork(now);
    }

    boolean hasRoom(Instant now) {
        return takesWork(now) && !now.isBefore(busyUntil) && load(now) < slots(now);
    }

    /** Returns the slots of this entry VM that are taken. */
    int load(Instant now) {
        while (!lostSlots.isEmpty() && !now.isBefore(lostSlots.peek())) {
            lostSlots.poll();
        }
        return inFlight + lostSlots.size();
    }

    int slots(Instant now) {
        if (!now.isBefore(grownAt)) {
            part = grownPart;
            grownAt = Instant.MAX;
        }
        return part;
    }

    void started() {
        inFlight++;
        health.started();
    }

    void ended() {
        inFlight--;
    }

    void lost(Instant slotUntil) {
        lostSlots.add(slotUntil);
    }

    void saidBusy(Instant now) {
        busyUntil = now.plus(settings.busyHold());
        health.unused();
    }

    void saidLeaving(Instant now) {
        leavingUntil = now.plus(settings.leavingHold());
        health.unused();
    }
}

/**
 * A second tenant that hands one small job in and then only asks for it. Judges the part of LOST that
 * holds from finish_s after the end of the traffic.
 */
final class OtherTenant {

    private static final long FINISH_MILLIS = 14_000;
    private static final long IDLE_MILLIS = 3_000;
    private static final int WORK_UNITS = 4;

    private final Fleet fleet;
    private final Client client = new Client("key-of-other");
    private final String id = Fleet.id(0xffff);
    private long acceptedAt = -1;
    private long askedAt = -1;
    private boolean completed;
    private long idleSince = -1;
    private long longestIdle;

    OtherTenant(Fleet fleet) {
        this.fleet = fleet;
    }

    /** Hands the job in until it is accepted, and then asks for it each second. */
    void step() {
        long now = Record.nowMillis();
        if (now - askedAt < 1_000 || completed) {
            observe(now);
            return;
        }
        askedAt = now;
        for (Daemon d : fleet.daemons) {
            if (acceptedAt < 0) {
                int status = client.call("POST", d, "/desk/" + id, Fleet.job(500, WORK_UNITS, 1_000)).status();
                acceptedAt = status >= 200 && status < 300 ? Record.nowMillis() : -1;
            } else if (!completed) {
                completed = client.call("GET", d, "/desk/" + id, "").state().equals("completed");
            }
        }
        observe(Record.nowMillis());
    }

    /** Notes for how long the job has had nothing running, from finish_s after it was accepted. */
    private void observe(long now) {
        boolean runs = fleet.workers.stream().flatMap(w -> w.runs().stream()).anyMatch(r -> r.task.startsWith(id));
        if (acceptedAt < 0 || now < acceptedAt + FINISH_MILLIS || runs || completed) {
            idleSince = -1;
            return;
        }
        idleSince = idleSince < 0 ? now : idleSince;
        longestIdle = Math.max(longestIdle, now - idleSince);
    }

    boolean isAccepted() {
        return acceptedAt >= 0;
    }

    boolean isCompleted() {
        return completed;
    }

    /** Returns whether the accepted job had nothing running for 3 s, later than finish_s after the traffic. */
    boolean isLost() {
        long starts = fleet.started.stream().filter(r -> r.task.startsWith(id)).count();
        Record.say("the other tenant's job: accepted " + isAccepted() + ", completed " + completed + ", starts "
                + starts + ", longest time with nothing running, from 14 s after the traffic: " + longestIdle + " ms");
        return isAccepted() && longestIdle >= IDLE_MILLIS;
    }
}

package org.chervillift.core.tasks.placement;

import java.util.ArrayList;
import java.util.List;
import org.chervillift.api.Checks;
import org.chervillift.api.tasks.Resources;

/**
 * Forecasts when a worker has room, from the expected ends of its runs.
 *
 * <p>Built once a round for a worker of a rack that is waited for. Each task that waits ahead takes
 * its place, so that the next one sees a later time.
 */
public final class RoomForecast {

    /** The time of what is not expected to happen. */
    public static final long NEVER = Long.MAX_VALUE;

    private final Resources capacity;
    private final List<Release> releases;
    private Resources taken;

    private record Release(long at, Resources size) {}

    /** Creates the forecast of a worker without runs. */
    public RoomForecast(Resources capacity) {
        this(Checks.notNull("capacity", capacity), new ArrayList<>(), Resources.NONE);
    }

    private RoomForecast(Resources capacity, List<Release> releases, Resources taken) {
        this.capacity = capacity;
        this.releases = releases;
        this.taken = taken;
    }

    /** Returns a forecast that changes independently of this one. */
    public RoomForecast copy() {
        return new RoomForecast(capacity, new ArrayList<>(releases), taken);
    }

    /**
     * Adds a run, or a task that is to run here.
     *
     * @param endsAt when it is expected to end, in milliseconds
     */
    public void take(Resources size, long endsAt) {
        taken = taken.plus(size);
        if (endsAt == NEVER) {
            return;
        }
        int position = releases.size();
        while (position > 0 && releases.get(position - 1).at() > endsAt) {
            position--;
        }
        releases.add(position, new Release(endsAt, size));
    }

    /** Returns when there is room for one more task, in milliseconds. */
    public long firstRoomFor(Resources size, long now) {
        Resources needed = taken.plus(size);
        Resources available = capacity;
        if (needed.fitsIn(available)) {
            return now;
        }
        for (Release release : releases) {
            available = available.plus(release.size());
            if (needed.fitsIn(available)) {
                return Math.max(now, release.at());
            }
        }
        return NEVER;
    }
}

package org.chervillift.core.tasks;

import java.util.List;
import org.chervillift.api.tasks.Resources;
import org.chervillift.api.tasks.StepSpec;

/** Builds steps for tests; by default one task of one core that takes a second. */
final class StepSpecBuilder {

    private int count = 1;
    private Resources request = new Resources(1_000, 100, 0);
    private long estimatedMillis = 1_000;
    private List<Integer> after = List.of();
    private boolean gang;
    private boolean tightlyCoupled;
    private String requiredLabel = "";
    private String dataRack = "";
    private int maxPerWorker;
    private boolean allowDuplicates;
    private boolean longRunning;
    private String image = "";
    private long tailTargetMillis;
    private boolean fillsSpareCapacity;
    private int mayMiss;
    private boolean checkpointing;

    StepSpecBuilder count(int value) {
        count = value;
        return this;
    }

    StepSpecBuilder request(Resources value) {
        request = value;
        return this;
    }

    StepSpecBuilder estimatedMillis(long value) {
        estimatedMillis = value;
        return this;
    }

    StepSpecBuilder after(List<Integer> value) {
        after = value;
        return this;
    }

    StepSpecBuilder gang(boolean value) {
        gang = value;
        return this;
    }

    StepSpecBuilder tightlyCoupled(boolean value) {
        tightlyCoupled = value;
        return this;
    }

    StepSpecBuilder requiredLabel(String value) {
        requiredLabel = value;
        return this;
    }

    StepSpecBuilder dataRack(String value) {
        dataRack = value;
        return this;
    }

    StepSpecBuilder maxPerWorker(int value) {
        maxPerWorker = value;
        return this;
    }

    StepSpecBuilder allowDuplicates(boolean value) {
        allowDuplicates = value;
        return this;
    }

    StepSpecBuilder longRunning(boolean value) {
        longRunning = value;
        return this;
    }

    StepSpecBuilder image(String value) {
        image = value;
        return this;
    }

    StepSpecBuilder tailTargetMillis(long value) {
        tailTargetMillis = value;
        return this;
    }

    StepSpecBuilder fillsSpareCapacity(boolean value) {
        fillsSpareCapacity = value;
        return this;
    }

    StepSpecBuilder mayMiss(int value) {
        mayMiss = value;
        return this;
    }

    StepSpecBuilder checkpointing(boolean value) {
        checkpointing = value;
        return this;
    }

    StepSpec build() {
        return new StepSpec(
                count,
                request,
                estimatedMillis,
                after,
                gang,
                tightlyCoupled,
                requiredLabel,
                dataRack,
                maxPerWorker,
                allowDuplicates,
                longRunning,
                image,
                tailTargetMillis,
                fillsSpareCapacity,
                mayMiss,
                checkpointing);
    }
}

package org.chervillift.wire.internal;

import static org.assertj.core.api.Assertions.assertThat;

import org.chervillift.wire.Delivery;
import org.junit.jupiter.api.Test;

class SendQueueTest {

    private final SendQueue queue = new SendQueue(3);

    @Test
    void theOldestAdviceGoesAndTransfersStay() {
        queue.add(bytes(1), Delivery.TRANSFER);
        queue.add(bytes(2), Delivery.ADVICE);
        queue.add(bytes(3), Delivery.ADVICE);
        assertThat(queue.add(bytes(4), Delivery.ADVICE)).isEqualTo(1);
        assertThat(queue.poll()).hasValue(bytes(1));
        assertThat(queue.poll()).hasValue(bytes(3));
        assertThat(queue.poll()).hasValue(bytes(4));
        assertThat(queue.poll()).isEmpty();
    }

    @Test
    void aTransferIsRefusedWhenOnlyTransfersWait() {
        for (int i = 0; i < 3; i++) {
            assertThat(queue.add(bytes(i), Delivery.TRANSFER)).isZero();
        }
        assertThat(queue.add(bytes(9), Delivery.TRANSFER)).isEqualTo(1);
        assertThat(queue.poll()).hasValue(bytes(0));
    }

    private static byte[] bytes(int value) {
        return new byte[] {(byte) value};
    }
}

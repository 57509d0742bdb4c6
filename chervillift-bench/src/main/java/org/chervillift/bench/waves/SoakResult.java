package org.chervillift.bench.waves;

/**
 * What a randomised run did.
 *
 * @param takeOuts VMs taken out
 * @param reboots reboots carried out
 * @param pauses times that a wave paused
 * @param wavesDone waves that were done or abandoned
 * @param commands operators' commands that took effect
 * @param conflicts operators' commands that were refused or came second
 * @param freezes processes frozen or replaced
 * @param requests requests that VMs took
 */
public record SoakResult(
        long takeOuts,
        long reboots,
        long pauses,
        long wavesDone,
        long commands,
        long conflicts,
        long freezes,
        long requests) {}

package org.chervillift.standin.platform;

/**
 * What the platform has been asked since it started.
 *
 * @param reads calls that read
 * @param writes calls that write
 * @param lists calls for the list of VMs
 */
public record PlatformStats(long reads, long writes, long lists) {}

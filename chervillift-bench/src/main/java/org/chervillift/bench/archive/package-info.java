/**
 * The run at build time that fills the archive of classes for the daemon of the users' platform,
 * and the local stand-in of that platform which it needs.
 */
package org.chervillift.bench.archive;

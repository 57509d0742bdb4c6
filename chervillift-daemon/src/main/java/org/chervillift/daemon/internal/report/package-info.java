/** Saves response counts and serves reports on them. */
package org.chervillift.daemon.internal.report;

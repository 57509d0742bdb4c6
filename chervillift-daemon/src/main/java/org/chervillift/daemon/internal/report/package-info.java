/** Saves counts of answers, and reports on them. */
package org.chervillift.daemon.internal.report;

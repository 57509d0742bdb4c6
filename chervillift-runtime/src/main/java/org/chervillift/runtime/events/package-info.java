/** Numbered events, written one a line to standard output. */
package org.chervillift.runtime.events;

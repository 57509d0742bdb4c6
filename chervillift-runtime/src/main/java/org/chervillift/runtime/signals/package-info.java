/** Signals of the operating system. */
package org.chervillift.runtime.signals;

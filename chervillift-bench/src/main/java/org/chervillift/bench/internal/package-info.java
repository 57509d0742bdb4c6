/** The measurements, one class each. */
package org.chervillift.bench.internal;

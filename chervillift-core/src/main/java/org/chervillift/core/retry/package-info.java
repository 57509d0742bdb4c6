/** When a failed attempt is made again, and when it is given up. */
package org.chervillift.core.retry;

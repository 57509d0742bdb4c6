/** Small stand-ins for the platform and for upstreams. */
package org.chervillift.standin;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** Carries channels to a port; the open ones can fall silent for good while new ones work. */
final class Proxy {

    private static final int BUFFER_BYTES = 65_536;

    private final int target;
    private final ServerSocket listener;
    private final List<Channel> channels = new ArrayList<>();

    /** One channel; after it has fallen silent nothing is carried on it, and it stays open. */
    private static final class Channel {
        private volatile boolean silent;
    }

    Proxy(int target) throws IOException {
        this.target = target;
        this.listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Thread.ofVirtual().start(this::accept);
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Lets all channels that are open now fall silent; returns how many these are. */
    synchronized int silenceOpenChannels() {
        channels.forEach(c -> c.silent = true);
        int count = channels.size();
        channels.clear();
        return count;
    }

    private void accept() {
        while (true) {
            try {
                Socket near = listener.accept();
                Socket far = new Socket();
                far.connect(new InetSocketAddress("127.0.0.1", target));
                near.setTcpNoDelay(true);
                far.setTcpNoDelay(true);
                Channel channel = new Channel();
                synchronized (this) {
                    channels.add(channel);
                }
                Thread.ofVirtual().start(() -> carry(channel, near, far));
                Thread.ofVirtual().start(() -> carry(channel, far, near));
            } catch (IOException e) {
                System.err.println("proxy: " + e);
            }
        }
    }

    private void carry(Channel channel, Socket from, Socket to) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            int read = in.read(buffer);
            while (read >= 0) {
                if (!channel.silent) {
                    out.write(buffer, 0, read);
                }
                read = in.read(buffer);
            }
        } catch (IOException e) {
            // The channel has been reset.
        }
        if (!channel.silent) {
            close(from);
            close(to);
            synchronized (this) {
                channels.remove(channel);
            }
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed.
        }
    }
}

import { readFileSync, writeFileSync } from "node:fs";
import { Command } from "commander";
import { RequestRefused } from "../client/client.js";
import { type AccountView, type BidView, MarketClient } from "./client.js";
import { formatMicro } from "./money.js";

interface Options {
  node: string;
  json?: boolean;
}

const write = (text: string): void => {
  process.stdout.write(`${text}\n`);
};

function showBid(bid: BidView, json: boolean | undefined): void {
  if (json === true) {
    write(JSON.stringify(bid));
    return;
  }
  write(`${bid.guest}/${bid.id}  ${bid.status}  ${bid.slots} slots at ${bid.price} at most`);
  for (const { id, zone, slots, price, until, cut } of bid.grants) {
    const why = cut === null ? "" : `, cut short: ${cut}`;
    write(`  ${id}  ${slots} in ${zone} at ${price}, until ${isoTime(until)}${why}`);
  }
}

function showAccount(account: AccountView, json: boolean | undefined): void {
  if (json === true) {
    write(JSON.stringify(account));
    return;
  }
  const { guest, grants, charged, settled, owed, charges } = account;
  write(`${guest}  ${grants} grants, charged ${charged}, settled ${settled}, owed ${owed}`);
  for (const { grant, zone, slots, from, slotMs, micro, cut } of charges) {
    const why = cut === null ? "" : `  ${cut}`;
    write(
      `  ${grant}  ${isoTime(from / 1000)}  ${zone}  ${slots}  ${slotMs} slot-ms  ${formatMicro(micro)}${why}`,
    );
  }
}

const isoTime = (seconds: number): string => new Date(seconds * 1000).toISOString().slice(0, 19);

function readBid(file: string): unknown {
  const text = readFileSync(file === "-" ? 0 : file, "utf8");
  try {
    return JSON.parse(text);
  } catch (error) {
    throw new RequestRefused(`bid file ${file} is not valid JSON: ${(error as Error).message}`);
  }
}

/** `birchdale market ...`: command-line interface for guests and operators. */
export function marketCommands(program: Command): Command {
  const market = new Command("market")
    .copyInheritedSettings(program)
    .description("bid for idle machines, show accounts, write reports");
  const command = (name: string, description: string): Command =>
    market
      .command(name)
      .description(description)
      .requiredOption("--node <host:port>", "address of a controller")
      .option("--json", "print JSON");
  const ask = async <T>(
    { node }: Options,
    run: (client: MarketClient) => Promise<T>,
  ): Promise<T> => {
    const client = new MarketClient(node);
    try {
      return await run(client);
    } finally {
      client.close();
    }
  };

  command("bid", "make a bid")
    .argument(
      "<file>",
      "the bid as JSON, with the fields of POST /market/bids; - for standard input",
    )
    .action(async (file: string, options: Options) =>
      showBid(await ask(options, (client) => client.bid(readBid(file))), options.json),
    );
  command("show", "show a bid and what it has won")
    .argument("<guest>")
    .argument("<id>")
    .action(async (guest: string, id: string, options: Options) =>
      showBid(await ask(options, (client) => client.show(guest, id)), options.json),
    );
  command("withdraw", "withdraw a bid; grants that it has won run to their end")
    .argument("<guest>")
    .argument("<id>")
    .action(async (guest: string, id: string, options: Options) =>
      showBid(await ask(options, (client) => client.withdraw(guest, id)), options.json),
    );
  command("status", "show the market: rounds, guests and their grants").action(
    async (options: Options) => {
      const status = await ask(options, (client) => client.overview());
      write(JSON.stringify(status, null, options.json === true ? 0 : 2));
    },
  );
  command("account", "show what a guest was charged, grant by grant")
    .argument("<guest>")
    .action(async (guest: string, options: Options) =>
      showAccount(await ask(options, (client) => client.account(guest)), options.json),
    );
  command("settle", "record a payment of a guest; repeating it with the same id counts once")
    .argument("<guest>")
    .argument("<id>")
    .argument("<amount>")
    .action(async (guest: string, id: string, amount: string, options: Options) =>
      showAccount(
        await ask(options, (client) => client.settle(guest, id, Number(amount))),
        options.json,
      ),
    );
  command("report", "write a report as one HTML file")
    .argument("<file>")
    .action(async (file: string, options: Options) => {
      // Loaded on demand: the plotting library is large.
      const { reportHtml } = await import("./report.js");
      const html = await ask(options, async (client) => {
        const { rounds } = await client.rounds();
        const { guests } = await client.overview();
        const accounts = await Promise.all(guests.map(({ name }) => client.account(name)));
        return reportHtml({ title: `Market at ${options.node}`, rounds, accounts });
      });
      writeFileSync(file, html);
      write(`${file}: ${html.length} bytes`);
    });
  return market;
}
